/** All faults by name, and the lanes that strike with them. */
import type { Fault } from '../world.js';
import { deadlyQuestion, endUnderQuestion } from './deadlyQuestions.js';
import * as network from './networkFaults.js';
import * as operators from './operatorFaults.js';
import * as processes from './processFaults.js';
import * as stores from './storeFaults.js';

/** A lane strikes one after the other; lanes overlap. A lane for roll-outs: there is one at a time. */
export const lanes: readonly (readonly Fault[])[] = [
  [
    processes.kill,
    processes.killHerd,
    processes.pause,
    processes.reload,
    processes.restartAndReload,
    processes.restartInTurn,
    processes.stepClock,
  ],
  Object.values(network).concat([stores.dropHistory, stores.spoilStore]),
  [
    operators.stormConfiguration,
    operators.revokeKey,
    operators.greyUpstream,
    operators.replaceUpstream,
    operators.crashUpstream,
  ],
  [operators.goodRollout, operators.badRollout],
  [operators.evacuate, operators.turnCold],
  [operators.evacuateAnother],
  [deadlyQuestion],
  [operators.limitRate],
  [operators.shed, operators.replaceUnannounced],
  [processes.losePaths],
  [stores.restoreStore],
];

/** Work that an operator plans; nothing fails by itself. */
export const plannedLanes: readonly (readonly Fault[])[] = [
  [processes.restartInTurn, processes.restartAndReload, processes.reload],
  [operators.stormConfiguration, operators.revokeKey, operators.replaceUpstream],
  [operators.goodRollout],
];

export { endUnderQuestion };

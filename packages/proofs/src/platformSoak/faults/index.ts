/** All faults by name, and the lanes that strike with them. */
import type { Fault } from '../world.js';
import { brittle } from './brittle.js';
import { deadlyPart } from './deadlyParts.js';
import { deadlyQuestion, replaceCrashed } from './deadlyQuestions.js';
import { hostileCallers } from './hostileCallers.js';
import * as network from './networkFaults.js';
import * as operators from './operatorFaults.js';
import * as processes from './processFaults.js';
import * as stores from './storeFaults.js';

type Lanes = readonly (readonly Fault[])[];

/**
 * A lane strikes one after the other; lanes overlap. A lane for roll-outs: there is one at a time. New lanes
 * go last, as a lane's place decides its random numbers.
 */
const allLanes: Lanes = [
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
  [brittle, deadlyPart],
  [operators.garbleUpstream],
  [hostileCallers],
];

/** Work that an operator plans; nothing fails by itself. */
const plannedLanes: Lanes = [
  [processes.restartInTurn, processes.restartAndReload, processes.reload],
  [operators.stormConfiguration, operators.revokeKey, operators.replaceUpstream],
  [operators.goodRollout],
];

/** Upstreams that end by what they are sent, while daemons come and go. */
const crashLanes: Lanes = [
  [processes.kill, processes.pause, processes.restartInTurn],
  [brittle],
  [deadlyPart],
  [operators.crashUpstream, operators.replaceUpstream],
];

/** Crowds of callers that keep no limits, also two at a time, while daemons come and go. */
const hostileLanes: Lanes = [
  [processes.kill, processes.pause, processes.restartInTurn, processes.reload],
  [hostileCallers],
  [hostileCallers],
  [operators.stormConfiguration, operators.revokeKey, operators.replaceUpstream],
];

export type Scenario = 'all' | 'planned' | 'crashes' | 'hostile';

export const lanesOf: Readonly<Record<Scenario, Lanes>> = {
  all: allLanes,
  planned: plannedLanes,
  crashes: crashLanes,
  hostile: hostileLanes,
};

export { replaceCrashed };

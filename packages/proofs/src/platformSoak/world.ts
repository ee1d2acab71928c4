/** What faults act on. */
import { pickRandom, type Random } from '@snipehaven/common';
import type { StandinStore } from '@snipehaven/standins';
import type { FaultLog } from './faultLog.js';
import type { Fleet } from './fleet.js';
import type { BackEnds } from './outside/backEnds.js';
import type { Operator } from './outside/operator.js';
import type { AttemptRecord, VmState } from './types.js';

export interface SoakWorld {
  readonly fleet: Fleet;
  readonly store: StandinStore;
  readonly backEnds: BackEnds;
  readonly operator: Operator;
  readonly faultLog: FaultLog;
  /** All that callers sent. */
  readonly attempts: AttemptRecord[];
}

export const pickVm = ({ fleet }: SoakWorld, random: Random): VmState =>
  pickRandom(fleet.vms, random) as VmState;

/** Strikes once and resolves when the fault is over. */
export type Fault = (world: SoakWorld, random: Random) => Promise<void>;

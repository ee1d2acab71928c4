/** What a run is judged by. */
import type { AttemptRecord, RunRecord } from '../types.js';
import type { SoakWorld } from '../world.js';

export interface Evidence {
  readonly world: SoakWorld;
  readonly attempts: readonly AttemptRecord[];
  readonly runsByAttempt: ReadonlyMap<string, readonly RunRecord[]>;
  /** From here on nothing is disturbed. */
  readonly healedAtMs: number;
}

/** Nothing disturbed the VMs, the store or the upstreams in that time. */
export const isCalmBetween = (
  { world }: Evidence,
  vms: readonly string[],
  fromMs: number,
  toMs: number,
): boolean =>
  [...vms, 'store', 'upstreams'].every((target) => world.faultLog.isCalm(target, fromMs, toMs));

export const isSuccess = ({ status, isWhole }: AttemptRecord): boolean => status === 200 && isWhole;

/** Makes a bench scenario from a pool's set-up. */
import { getPolicy } from '../policies.js';
import { runPool } from '../runPool.js';
import { toRow } from '../toRow.js';
import type { PoolSetup, TeamLoad, PoolScenario } from '../types.js';

/** Teams that share a load: two large ones have half of it. */
export const createTeams = (count: number, ratePerSecond: number): readonly TeamLoad[] =>
  Array.from({ length: count }, (_, index) => {
    const share = index < 2 ? 0.25 : 0.5 / (count - 2);
    /** Load waves by a third of the mean, each team in its own phase. */
    const getWave = (nowMs: number): number => 1 + 0.3 * Math.sin(nowMs / 7_000 + index);
    return {
      team: `team-${index}`,
      weight: 1,
      getRate: (nowMs) => ratePerSecond * share * getWave(nowMs),
    };
  });

/** A scenario whose latency figures are of `measuredTeams`, or of all. */
export const createPoolScenario = (
  name: string,
  setup: PoolSetup,
  policies: readonly string[],
  measuredTeams?: readonly string[],
): PoolScenario => ({
  name,
  policies,
  run: (policy, seed) =>
    toRow(name, policy, setup, runPool(setup, getPolicy(policy), seed), measuredTeams),
});

/** A pool that loses half its engines for a time: some refuse connections, some fall silent. */
import { getCapacityPerSecond } from '../capacity.js';
import type { EngineFault } from '../types.js';
import { createPoolScenario, createTeams } from './createPoolScenario.js';

const ENGINES = 12;
const POLICIES = ['ours', 'ours-round1', 'round-robin', 'least-reported-load', 'plain-two-choices'];

const getFault = (engineIndex: number): EngineFault => {
  if (engineIndex >= ENGINES / 2) {
    return 'none';
  }
  return engineIndex % 2 === 0 ? 'down' : 'silent';
};

export const halfLost = createPoolScenario(
  'pool-loses-half',
  {
    daemonCount: 9,
    engineCount: ENGINES,
    reportIntervalMs: 2_000,
    reportLagMs: 500,
    durationMs: 70_000,
    teams: createTeams(10, getCapacityPerSecond(ENGINES) * 0.4),
    fault: { fromMs: 20_000, untilMs: 50_000, getFault },
    capacityPerSecond: getCapacityPerSecond(ENGINES),
  },
  POLICIES,
);

/** 9 and 57 daemons a data centre whose load reports lag. */
import { getCapacityPerSecond } from '../capacity.js';
import type { PoolScenario } from '../types.js';
import { createPoolScenario, createTeams } from './createPoolScenario.js';

const POLICIES = ['ours', 'ours-round1', 'round-robin', 'least-reported-load', 'plain-two-choices'];

const createLagging = (
  daemonCount: number,
  engineCount: number,
  durationMs: number,
  reportIntervalMs: number,
): PoolScenario => {
  const capacityPerSecond = getCapacityPerSecond(engineCount);
  const setup = {
    daemonCount,
    engineCount,
    reportIntervalMs,
    reportLagMs: 500,
    durationMs,
    teams: createTeams(10, capacityPerSecond * 0.85),
    capacityPerSecond,
  };
  return createPoolScenario(
    `lagging-reports-${daemonCount}-every-${reportIntervalMs}ms`,
    setup,
    POLICIES,
  );
};

export const laggingReports: readonly PoolScenario[] = [
  createLagging(9, 12, 60_000, 2_000),
  createLagging(57, 60, 30_000, 2_000),
  createLagging(57, 60, 30_000, 8_000),
];

/** All scenarios of upstream choice, limits and retries. */
import type { Scenario } from '../types.js';
import { halfLost } from './scenarios/halfLost.js';
import { laggingReports } from './scenarios/laggingReports.js';
import { overload } from './scenarios/overload.js';
import type { PoolScenario } from './types.js';

/** The scenarios, with each policy to be run alone. */
export const getPoolScenarios = (): readonly PoolScenario[] => [
  halfLost,
  ...laggingReports,
  ...overload,
];

/** The scenarios as the harness runs them: all policies of one seed. */
export const getUpstreamScenarios = (): readonly Scenario[] =>
  getPoolScenarios().map(({ name, policies, run }) => ({
    name,
    run: (seed) => policies.map((policy) => run(policy, seed)),
  }));

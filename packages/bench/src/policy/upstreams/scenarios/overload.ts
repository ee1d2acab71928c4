/** One team flooding, the same without the flood, and twice the capacity from all teams. */
import { getCapacityPerSecond } from '../capacity.js';
import type { PoolSetup, TeamLoad, PoolScenario } from '../types.js';
import { createPoolScenario, createTeams } from './createPoolScenario.js';

const ENGINES = 12;
const TEAMS = 10;
const CAPACITY = getCapacityPerSecond(ENGINES);
const FLOODING_TEAM = 'team-0';
const POLICIES = ['ours', 'ours-round1', 'fifo'];

const createSetup = (teams: readonly TeamLoad[]): PoolSetup => ({
  daemonCount: 9,
  engineCount: ENGINES,
  reportIntervalMs: 2_000,
  reportLagMs: 500,
  durationMs: 60_000,
  teams,
  capacityPerSecond: CAPACITY,
});

const calm = createTeams(TEAMS, CAPACITY * 0.7);
const flooded = calm.map((load) =>
  load.team === FLOODING_TEAM ? { ...load, getRate: () => CAPACITY * 2 } : load,
);
const others = calm.map(({ team }) => team).filter((team) => team !== FLOODING_TEAM);

export const overload: readonly PoolScenario[] = [
  createPoolScenario('flood-absent', createSetup(calm), POLICIES, others),
  createPoolScenario('one-team-floods', createSetup(flooded), POLICIES, others),
  createPoolScenario('twice-capacity', createSetup(createTeams(TEAMS, CAPACITY * 2)), POLICIES),
];

/** Scenarios of roll-outs: each kind of candidate, at few and at many daemons. */
import { defaultRolloutSettings } from '@snipehaven/policy';
import { createRow, type BenchRow, type Scenario } from '../types.js';
import { candidateModels, type CandidateKind } from './answerModel.js';
import { createOwnRollout } from './ownRollout.js';
import { createPerDaemonBudget } from './perDaemonBudget.js';
import { plainPercentage } from './plainPercentage.js';
import type { RolloutPolicy } from './rolloutPolicies.js';
import { lastRolloutRounds, rolloutRounds } from './rounds.js';
import { simulateRollout, type RolloutResult } from './simulateRollout.js';

interface FleetSize {
  readonly daemonCount: number;
  readonly requestsPerSecond: number;
  /** Repeated runs of a good candidate, for the rate of false alarms. */
  readonly goodRuns: number;
}

const FLEETS: readonly FleetSize[] = [
  { daemonCount: 9, requestsPerSecond: 2, goodRuns: 12 },
  { daemonCount: 57, requestsPerSecond: 6, goodRuns: 3 },
  { daemonCount: 400, requestsPerSecond: 20, goodRuns: 2 },
];

const HORIZON_TICKS = 8 * 3_600;
const SEED_STEP = 1_000;

const listPolicies = (withAllRounds: boolean): readonly RolloutPolicy[] => [
  createOwnRollout('ours', defaultRolloutSettings),
  ...(withAllRounds ? rolloutRounds : lastRolloutRounds).map(({ name, settings }) =>
    createOwnRollout(name, settings),
  ),
  createPerDaemonBudget(defaultRolloutSettings),
  plainPercentage,
];

const measureBad = (scenario: string, policy: string, result: RolloutResult): BenchRow =>
  createRow(scenario, policy, {
    exposed: result.exposed,
    shadowAnswers: result.shadowAnswers,
  });

const getMean = (values: readonly number[]): number | null =>
  values.length === 0 ? null : values.reduce((sum, value) => sum + value, 0) / values.length;

const measureGood = (
  scenario: string,
  policy: string,
  results: readonly RolloutResult[],
): BenchRow => {
  const alarms = results.filter(({ end }) => end === 'quarantined').length;
  const finished = results.filter(({ end }) => end === 'finished');
  return createRow(scenario, policy, {
    shadowAnswers: getMean(results.map(({ shadowAnswers }) => shadowAnswers)),
    falseAlarmPct: (100 * alarms) / results.length,
    minutesToFull: getMean(finished.map(({ endTick }) => endTick / 60)),
  });
};

const runPolicy = (
  kind: CandidateKind,
  fleet: FleetSize,
  policy: RolloutPolicy,
  seed: number,
): readonly RolloutResult[] => {
  const runs = kind === 'good' ? fleet.goodRuns : 1;
  return Array.from({ length: runs }, (_, index) =>
    simulateRollout(
      {
        candidate: candidateModels[kind],
        daemonCount: fleet.daemonCount,
        requestsPerSecond: fleet.requestsPerSecond,
        horizonTicks: HORIZON_TICKS,
        seed: seed + SEED_STEP * index,
      },
      policy,
    ),
  );
};

const createScenario = (kind: CandidateKind, fleet: FleetSize): Scenario => {
  const capitalized = `${kind.charAt(0).toUpperCase()}${kind.slice(1)}`;
  const name = `rollout${capitalized}${fleet.daemonCount}`;
  return {
    name,
    run: (seed, withAllRounds) =>
      listPolicies(withAllRounds).map((policy) => {
        const results = runPolicy(kind, fleet, policy, seed);
        return kind === 'good'
          ? measureGood(name, policy.name, results)
          : measureBad(name, policy.name, results[0]!);
      }),
  };
};

const kinds = Object.keys(candidateModels) as readonly CandidateKind[];

/** All scenarios of roll-outs. */
export const rolloutScenarios: readonly Scenario[] = kinds.flatMap((kind) =>
  FLEETS.map((fleet) => createScenario(kind, fleet)),
);

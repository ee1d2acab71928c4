/** Scenarios of model choice. */
import type { Scenario } from '../types.js';
import { DAY_MS, drawArrivals, HOUR_MS, type Burst } from '../world/arrivals.js';
import { caprock, createTeams, kowalczyk, type DeploymentModel } from '../world/deployments.js';
import { defaultRater, type RaterModel } from '../world/rater.js';
import { versionModels, type VersionFault } from '../world/versions.js';
import { measureChoice } from './measure.js';
import { listChoicePolicies } from './policies.js';
import { simulateChoice, type ChoiceWorld, type RequestResult } from './simulateChoice.js';
import { drawTeamTruths } from './truth.js';

interface ChoiceScenario {
  readonly name: string;
  readonly deployment: DeploymentModel;
  readonly fromMs: number;
  readonly toMs: number;
  readonly bursts?: readonly Burst[];
  readonly faults?: readonly VersionFault[];
  readonly outages?: RaterModel['outages'];
}

/** Answers that began before the end are waited for. */
const GRACE_MS = HOUR_MS;
const THIRD_DAY = { fromMs: 2 * DAY_MS, toMs: 3 * DAY_MS };

const createWorld = (scenario: ChoiceScenario, seed: number): ChoiceWorld => {
  const { deployment } = scenario;
  const truths = drawTeamTruths(deployment, createTeams(deployment, seed), seed);
  const teams = truths.map(({ team }) => team);
  return {
    truths,
    tasks: deployment.tasks,
    rater: { ...defaultRater, outages: scenario.outages ?? [] },
    requests: drawArrivals(deployment, teams, scenario.toMs, scenario.bursts ?? [], seed),
    faults: scenario.faults ?? [],
    untilMs: scenario.toMs + GRACE_MS,
    seed,
  };
};

/** Answers of versions that had gone bad. */
const countFaulty = (results: readonly RequestResult[], faults: readonly VersionFault[]): number =>
  results.filter((result) =>
    faults.some(
      ({ version, fromMs }) => result.version === version && result.finishedAtMs >= fromMs,
    ),
  ).length;

const createScenario = (scenario: ChoiceScenario): Scenario => ({
  name: scenario.name,
  run: (seed, withAllRounds) => {
    const world = createWorld(scenario, seed);
    const isMeasured = ({ atMs }: { readonly atMs: number }): boolean => atMs >= scenario.fromMs;
    const requestCount = world.requests.filter(isMeasured).length;
    return listChoicePolicies(withAllRounds).map((policy) => {
      const { results } = simulateChoice(world, policy);
      const measured = results.filter(({ request }) => isMeasured(request));
      const row = measureChoice(scenario.name, policy.name, measured, requestCount);
      return { ...row, exposed: scenario.faults ? countFaulty(measured, scenario.faults) : null };
    });
  },
});

const BURST_FROM_MS = DAY_MS + HOUR_MS;
const nightBurst: Burst = { fromMs: BURST_FROM_MS, toMs: BURST_FROM_MS + HOUR_MS, factor: 12 };

/** The second dearest version gets worse at noon of the second day. */
const mediumGoesBad: VersionFault = {
  version: versionModels[2]!.version,
  fromMs: DAY_MS + 12 * HOUR_MS,
  skillLoss: 1.2,
};

/** All scenarios of model choice; the days before the measured time only teach. */
export const choiceScenarios: readonly Scenario[] = [
  { name: 'steadyDayKowalczyk', deployment: kowalczyk, ...THIRD_DAY },
  { name: 'steadyDayCaprock', deployment: caprock, ...THIRD_DAY },
  { name: 'coldDayKowalczyk', deployment: kowalczyk, fromMs: 0, toMs: DAY_MS },
  {
    name: 'nightBurstKowalczyk',
    deployment: kowalczyk,
    fromMs: BURST_FROM_MS,
    toMs: BURST_FROM_MS + 2 * HOUR_MS,
    bursts: [nightBurst],
  },
  {
    name: 'provenGoesBadKowalczyk',
    deployment: kowalczyk,
    fromMs: mediumGoesBad.fromMs,
    toMs: 2 * DAY_MS,
    faults: [mediumGoesBad],
  },
  {
    name: 'raterDownKowalczyk',
    deployment: kowalczyk,
    fromMs: DAY_MS,
    toMs: 2 * DAY_MS,
    outages: [[DAY_MS + 6 * HOUR_MS, DAY_MS + 12 * HOUR_MS]] as const,
  },
].map(createScenario);

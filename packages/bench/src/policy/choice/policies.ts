/** Policies of model choice: ours with its rounds, and the baselines. */
import {
  defaultChoiceSettings,
  planRequest,
  type ChoiceSettings,
  type PlanInput,
  type RequestPlan,
} from '@snipehaven/policy';
import type { TaskModel } from '../world/deployments.js';
import type { RaterModel } from '../world/rater.js';
import { getStreamId, planClairvoyantly } from './clairvoyant.js';
import { choiceRounds, lastChoiceRounds } from './rounds.js';
import { getMeanScore, type TeamTruth, type TrueScores } from './truth.js';
import { versionModels } from '../world/versions.js';

/** What a policy may know before the run. */
export interface PolicyWorld {
  readonly truths: readonly TeamTruth[];
  readonly tasks: readonly TaskModel[];
  readonly rater: RaterModel;
}

/** Plans one request of a team. */
export type Planner = (input: PlanInput, team: string) => RequestPlan;

/** A policy under test. */
export interface ChoicePolicy {
  readonly name: string;
  /** Whether it learns from ratings; the run saves itself the evidence otherwise. */
  readonly usesEvidence: boolean;
  readonly createPlanner: (world: PolicyWorld) => Planner;
}

const createDirectPlan = (input: PlanInput, index: number): RequestPlan => ({
  steps: [{ version: (input.candidates[index] ?? input.candidates[0])!.version }],
  reason: 'direct',
  expectedCostMicroUsd: 0,
  expectedMs: 0,
  qualityLowerBound: 0,
  shouldRateAfterRelease: false,
});

/** Candidates come in the order of their price. */
const createFixedPolicy = (name: string, getIndex: (count: number) => number): ChoicePolicy => ({
  name,
  usesEvidence: false,
  createPlanner: () => (input) => createDirectPlan(input, getIndex(input.candidates.length)),
});

const getMeanOverTeams = (world: PolicyWorld, task: string, version: number): number => {
  const means = world.truths.map((truth) =>
    getMeanScore((truth.byTask[task] as TrueScores).scores[version] as Float64Array),
  );
  return means.reduce((sum, mean) => sum + mean, 0) / means.length;
};

/** What operators do by hand: a table of each task's cheapest version by an evaluation offline. */
const staticTable: ChoicePolicy = {
  name: 'staticTable',
  usesEvidence: false,
  createPlanner: (world) => {
    const means = new Map(
      world.tasks.map(({ task }) => [
        task,
        versionModels.map((_, version) => getMeanOverTeams(world, task, version)),
      ]),
    );
    return (input) => {
      const known = means.get(input.task) ?? [];
      const index = known.findIndex((mean) => mean >= input.team.qualityTarget);
      return createDirectPlan(input, index < 0 ? input.candidates.length - 1 : index);
    };
  },
};

const clairvoyant: ChoicePolicy = {
  name: 'clairvoyant',
  usesEvidence: false,
  createPlanner: (world) => {
    const plans = planClairvoyantly(world.truths, world.tasks, world.rater);
    return (input, team) => plans.get(getStreamId(team, input.task)) as RequestPlan;
  },
};

const createOwnPolicy = (name: string, settings: ChoiceSettings): ChoicePolicy => ({
  name,
  usesEvidence: true,
  createPlanner: () => (input) => planRequest({ ...input, settings }),
});

/** The policies, ours first; with all earlier rounds or only the last one. */
export const listChoicePolicies = (withAllRounds: boolean): readonly ChoicePolicy[] => [
  createOwnPolicy('ours', defaultChoiceSettings),
  ...(withAllRounds ? choiceRounds : lastChoiceRounds).map(({ name, settings }) =>
    createOwnPolicy(name, settings),
  ),
  createFixedPolicy('alwaysDearest', (count) => count - 1),
  createFixedPolicy('alwaysCheapest', () => 0),
  staticTable,
  clairvoyant,
];

/**
 * The bound: for each stream the cheapest plan that meets the target by the true distributions of
 * scores. It knows the versions, but not the single answers in advance, learns at no cost, and
 * keeps to the team's settings.
 */
import type { PlanStep, RequestPlan } from '@snipehaven/policy';
import type { TaskModel } from '../world/deployments.js';
import type { RaterModel } from '../world/rater.js';
import { versionModels, type VersionModel } from '../world/versions.js';
import { getMeanScore, type TeamTruth, type TrueScores } from './truth.js';

interface KnownPlan {
  readonly steps: readonly PlanStep[];
  readonly costMicroUsd: number;
  readonly meanScore: number;
}

const THRESHOLDS = Array.from({ length: 39 }, (_, index) => (index + 1) / 40);
const PRICE_UNIT_TOKENS = 1_000_000;

const getCost = (model: VersionModel, task: TaskModel): number =>
  (task.promptTokens * model.inputMicroUsdPerMillionTokens +
    task.completionTokens * model.outputMicroUsdPerMillionTokens) /
  PRICE_UNIT_TOKENS;

const listDirect = (task: TaskModel, truth: TrueScores): readonly KnownPlan[] =>
  versionModels.map((model, index) => ({
    steps: [{ version: model.version }],
    costMicroUsd: getCost(model, task),
    meanScore: getMeanScore(truth.scores[index] as Float64Array),
  }));

const createCascade = (
  first: number,
  next: number,
  threshold: number,
  task: TaskModel,
  truth: TrueScores,
  rater: RaterModel,
): KnownPlan => {
  const firstScores = truth.scores[first] as Float64Array;
  const nextScores = truth.scores[next] as Float64Array;
  let escalations = 0;
  let scoreSum = 0;
  firstScores.forEach((score, index) => {
    const isAccepted = score >= threshold;
    escalations += isAccepted ? 0 : 1;
    scoreSum += isAccepted ? score : (nextScores[index] ?? 0);
  });
  const firstModel = versionModels[first] as VersionModel;
  const nextModel = versionModels[next] as VersionModel;
  const escalateShare = escalations / firstScores.length;
  return {
    steps: [
      { version: firstModel.version, acceptAboveScore: threshold },
      { version: nextModel.version },
    ],
    costMicroUsd:
      getCost(firstModel, task) + rater.costMicroUsd + escalateShare * getCost(nextModel, task),
    meanScore: scoreSum / firstScores.length,
  };
};

const listCascades = (
  task: TaskModel,
  truth: TrueScores,
  rater: RaterModel,
): readonly KnownPlan[] =>
  versionModels.flatMap((_, first) =>
    versionModels.flatMap((__, next) =>
      next <= first
        ? []
        : THRESHOLDS.map((threshold) => createCascade(first, next, threshold, task, truth, rater)),
    ),
  );

/** The cheapest sufficient plan of one stream, or the best one if none suffices. */
const planStream = (truth: TeamTruth, task: TaskModel, rater: RaterModel): KnownPlan => {
  const settings = truth.team.settings[task.task];
  const scores = truth.byTask[task.task] as TrueScores;
  const cascades = settings?.allowsCascade ? listCascades(task, scores, rater) : [];
  const plans = [...listDirect(task, scores), ...cascades];
  const sufficient = plans.filter((plan) => plan.meanScore >= (settings?.qualityTarget ?? 1));
  const byCost = [...sufficient].sort((a, b) => a.costMicroUsd - b.costMicroUsd);
  const byScore = [...plans].sort((a, b) => b.meanScore - a.meanScore);
  return (byCost[0] ?? byScore[0]) as KnownPlan;
};

/** Plans by team and task. */
export type KnownPlans = ReadonlyMap<string, RequestPlan>;

/** The name of a stream. */
export const getStreamId = (team: string, task: string): string => `${team}|${task}`;

/** The bound's plan for each stream. */
export const planClairvoyantly = (
  truths: readonly TeamTruth[],
  tasks: readonly TaskModel[],
  rater: RaterModel,
): KnownPlans =>
  new Map(
    truths.flatMap((truth) =>
      tasks.map((task) => {
        const plan = planStream(truth, task, rater);
        return [
          getStreamId(truth.team.team, task.task),
          {
            steps: plan.steps,
            reason: 'direct',
            expectedCostMicroUsd: plan.costMicroUsd,
            expectedMs: 0,
            qualityLowerBound: plan.meanScore,
            shouldRateAfterRelease: false,
          },
        ] as const;
      }),
    ),
  );

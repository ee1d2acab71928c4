/**
 * Chooses the plan with the lowest expected cost among those that meet the team's quality target.
 */
import { estimateCandidate, type CandidateEstimate } from './candidateEstimate.js';
import { defaultChoiceSettings } from './constants.js';
import { explore } from './explore.js';
import { createDirectOption, listCascadeOptions, type PlanOption } from './planOption.js';
import type { ChoiceSettings, PlanInput, PlanReason, RequestPlan } from './types.js';

const noPlan: RequestPlan = {
  steps: [],
  reason: 'noCandidate',
  expectedCostMicroUsd: 0,
  expectedMs: 0,
  qualityLowerBound: 0,
  shouldRateAfterRelease: false,
};

const getConfidence = (input: PlanInput, settings: ChoiceSettings): number =>
  input.team.isStrict ? settings.strictConfidence : settings.confidence;

type Objective = (costMicroUsd: number, expectedMs: number) => number;

/**
 * Combines cost and latency into one objective. The cost of the most expensive candidate counts as
 * 1 at full weight.
 */
const createObjective = (
  input: PlanInput,
  settings: ChoiceSettings,
  highestMicroUsd: number,
): Objective => {
  const { cost, latency } = input.team.weights;
  const costScale = Math.max(highestMicroUsd, 1);
  return (costMicroUsd, expectedMs) =>
    (cost * costMicroUsd) / costScale + (latency * expectedMs) / settings.latencyScaleMs;
};

const getValue = (option: PlanOption, objective: Objective): number =>
  objective(option.costMicroUsd, option.expectedMs);

/**
 * Lists the cascades that could beat the value. A first version is skipped if its cost alone,
 * without any escalation, already exceeds it.
 */
const listCascades = (
  estimates: readonly CandidateEstimate[],
  input: PlanInput,
  settings: ChoiceSettings,
  objective: Objective,
  valueToBeat: number,
): readonly PlanOption[] => {
  if (!input.team.allowsCascade || !input.isRaterUp) {
    return [];
  }
  const context = { input, settings, confidence: getConfidence(input, settings) };
  const proven = estimates.filter(({ evidence }) => evidence.weight >= settings.minProvenWeight);
  const canBeatDirect = (first: CandidateEstimate): boolean =>
    objective(first.costMicroUsd + input.ratingCostMicroUsd, first.durationMs + input.ratingMs) <
    valueToBeat;
  return proven
    .filter(canBeatDirect)
    .flatMap((first) =>
      proven
        .filter((next) => next.costMicroUsd > first.costMicroUsd)
        .flatMap((next) => listCascadeOptions(first, next, context)),
    );
};

const minBy = <Item>(
  items: readonly Item[],
  getItemValue: (item: Item) => number,
): Item | undefined => {
  let best: Item | undefined;
  let bestValue = Infinity;
  items.forEach((item) => {
    const value = getItemValue(item);
    if (value < bestValue || best === undefined) {
      best = item;
      bestValue = value;
    }
  });
  return best;
};

const toPlan = (
  option: PlanOption,
  reason: PlanReason,
  shouldRateAfterRelease: boolean,
): RequestPlan => ({
  steps: option.steps,
  reason,
  expectedCostMicroUsd: option.costMicroUsd,
  expectedMs: option.expectedMs,
  qualityLowerBound: option.qualityLowerBound,
  shouldRateAfterRelease,
});

const getRatingShare = (
  estimate: CandidateEstimate,
  input: PlanInput,
  settings: ChoiceSettings,
): number => {
  const isWellProven = estimate.candidate.evidence.ownWeight >= settings.wellProvenWeight;
  const least = isWellProven ? settings.ratingShare : settings.unprovenRatingShare;
  const ratingCost = Math.max(1, input.ratingCostMicroUsd);
  return Math.max(least, (settings.ratingCostShare * estimate.costMicroUsd) / ratingCost);
};

/** Whether to rate the released answer, so that evidence accumulates and drift is detected. */
const shouldRateAnswer = (
  estimate: CandidateEstimate | undefined,
  input: PlanInput,
  settings: ChoiceSettings,
): boolean =>
  estimate !== undefined &&
  input.isRaterUp &&
  input.random.next() < getRatingShare(estimate, input, settings);

/**
 * Returns the fallback when no plan is certain to meet the target: the plan with the best lower
 * bound or, without any evidence, the most expensive one.
 */
const planFallback = (
  estimates: readonly CandidateEstimate[],
  directOptions: readonly PlanOption[],
): readonly [PlanOption, PlanReason] | undefined => {
  const hasEvidence = estimates.some((estimate) => estimate.evidence.weight > 0);
  if (hasEvidence) {
    const best = minBy(directOptions, (option) => -option.qualityLowerBound);
    return best && [best, 'bestAvailable'];
  }
  const mostExpensive = minBy(directOptions, (option) => -option.costMicroUsd);
  return mostExpensive && [mostExpensive, 'noEvidence'];
};

const getHighestCost = (estimates: readonly CandidateEstimate[]): number =>
  Math.max(...estimates.map((estimate) => estimate.costMicroUsd));

const chooseOption = (
  estimates: readonly CandidateEstimate[],
  input: PlanInput,
  settings: ChoiceSettings,
): readonly [PlanOption, PlanReason] | undefined => {
  const confidence = getConfidence(input, settings);
  const objective = createObjective(input, settings, getHighestCost(estimates));
  const isSufficient = (option: PlanOption): boolean =>
    option.qualityLowerBound >= input.team.qualityTarget && option.worstMs <= input.remainingMs;
  const pickBest = (options: readonly PlanOption[]): PlanOption | undefined =>
    minBy(options.filter(isSufficient), (option) => getValue(option, objective));

  const directOptions = estimates.map((estimate) => createDirectOption(estimate, confidence));
  const direct = pickBest(directOptions);
  const valueToBeat = direct ? getValue(direct, objective) : Infinity;
  const cascade = pickBest(listCascades(estimates, input, settings, objective, valueToBeat));
  if (cascade && getValue(cascade, objective) < valueToBeat) {
    return [cascade, 'cascade'];
  }
  return direct ? [direct, 'direct'] : planFallback(estimates, directOptions);
};

const planPinned = (
  estimates: readonly CandidateEstimate[],
  settings: ChoiceSettings,
): readonly [PlanOption, PlanReason] | undefined => {
  const pinned = estimates.find((estimate) => estimate.candidate.isPinned);
  return pinned && [createDirectOption(pinned, settings.confidence), 'pinned'];
};

/** Plans how a request is answered. A version pinned by the session takes precedence. */
export const planRequest = (input: PlanInput): RequestPlan => {
  const settings = input.settings ?? defaultChoiceSettings;
  const estimates = input.candidates.map((candidate) => estimateCandidate(candidate, input));
  const chosen = planPinned(estimates, settings) ?? chooseOption(estimates, input, settings);
  if (!chosen) {
    return noPlan;
  }
  const [option, reason] = chosen;
  const explored = reason === 'pinned' ? {} : explore(option, estimates, input, settings);
  const final = explored.option ?? option;
  const last = final.steps[final.steps.length - 1];
  const answering = estimates.find((estimate) => estimate.candidate.version === last?.version);
  const shouldRate = shouldRateAnswer(answering, input, settings);
  const plan = toPlan(final, explored.option ? 'exploration' : reason, shouldRate);
  return explored.shadowVersion ? { ...plan, shadowVersion: explored.shadowVersion } : plan;
};

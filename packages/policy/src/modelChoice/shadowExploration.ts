/**
 * Exploration in the shadow: an unproven version answers in parallel with the plan, and its answer
 * is only rated. No caller waits for it or receives it, so strict tasks can learn about cheaper
 * versions too.
 */
import type { VersionId } from '@snipehaven/common';
import type { CandidateEstimate } from './candidateEstimate.js';
import type { PlanOption } from './planOption.js';
import type { ChoiceSettings, PlanInput } from './types.js';

/**
 * Lists versions that are cheaper than the most expensive one of the plan and could replace part of
 * it.
 */
const listReplacements = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
): readonly CandidateEstimate[] => {
  const planned = new Set(option.steps.map(({ version }) => version));
  const plannedCosts = estimates
    .filter(({ candidate }) => planned.has(candidate.version))
    .map(({ costMicroUsd }) => costMicroUsd);
  const highestPlannedCost = Math.max(0, ...plannedCosts);
  return estimates.filter(
    ({ candidate, costMicroUsd }) =>
      costMicroUsd < highestPlannedCost && !planned.has(candidate.version),
  );
};

/** Returns how much is still to be learned about a version, from 1 down to 0. */
const getNovelty = (estimate: CandidateEstimate, settings: ChoiceSettings): number => {
  const direct = estimate.candidate.evidence.weight;
  const escalated = estimate.candidate.escalatedEvidence?.weight ?? 0;
  const weight = Math.min(direct, 2 * escalated + settings.minProvenWeight);
  return Math.max(0, 1 - weight / settings.sufficientWeight);
};

/**
 * Returns the probability of trying the version, limited by the budget relative to the plan's cost.
 */
const getTrialProbability = (
  tried: CandidateEstimate,
  option: PlanOption,
  input: PlanInput,
  settings: ChoiceSettings,
): number => {
  const trialCost = Math.max(1, tried.costMicroUsd + input.ratingCostMicroUsd);
  const affordable = (settings.explorationCostShare * option.costMicroUsd) / trialCost;
  return Math.min(settings.explorationShare, affordable) * getNovelty(tried, settings);
};

/** Returns the version to try in the shadow of this request, if any. */
export const chooseShadowVersion = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
  input: PlanInput,
  settings: ChoiceSettings,
): VersionId | undefined => {
  if (!input.team.allowsExploration || !input.isRaterUp || input.isIdempotent !== true) {
    return undefined;
  }
  const replacements = listReplacements(option, estimates);
  const tried = replacements[input.random.nextInt(replacements.length)];
  const isTried =
    tried && input.random.next() < getTrialProbability(tried, option, input, settings);
  return isTried ? tried.candidate.version : undefined;
};

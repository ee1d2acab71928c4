/**
 * Exploration in the shadow: an unknown version answers beside the plan's, and is only rated. No
 * caller waits for it or gets its answer, so that strict tasks can learn of cheaper versions too.
 */
import type { VersionId } from '@snipehaven/common';
import type { CandidateEstimate } from './candidateEstimate.js';
import type { PlanOption } from './planOption.js';
import type { ChoiceSettings, PlanInput } from './types.js';

/** Versions cheaper than the dearest of the plan, which could replace a part of it. */
const listReplacements = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
): readonly CandidateEstimate[] => {
  const planned = new Set(option.steps.map(({ version }) => version));
  const plannedCosts = estimates
    .filter(({ candidate }) => planned.has(candidate.version))
    .map(({ costMicroUsd }) => costMicroUsd);
  const dearest = Math.max(0, ...plannedCosts);
  return estimates.filter(
    ({ candidate, costMicroUsd }) => costMicroUsd < dearest && !planned.has(candidate.version),
  );
};

/** How much is still to be learnt of a version, from 1 to 0. */
const getNovelty = (estimate: CandidateEstimate, settings: ChoiceSettings): number => {
  const direct = estimate.candidate.evidence.weight;
  const escalated = estimate.candidate.escalatedEvidence?.weight ?? 0;
  const weight = Math.min(direct, 2 * escalated + settings.minProvenWeight);
  return Math.max(0, 1 - weight / settings.sufficientWeight);
};

/** The chance to try the version, within what may be spent of the plan's cost. */
const getTrialShare = (
  tried: CandidateEstimate,
  option: PlanOption,
  input: PlanInput,
  settings: ChoiceSettings,
): number => {
  const trialCost = Math.max(1, tried.costMicroUsd + input.ratingCostMicroUsd);
  const affordable = (settings.explorationCostShare * option.costMicroUsd) / trialCost;
  return Math.min(settings.explorationShare, affordable) * getNovelty(tried, settings);
};

/** The version to try in the shadow of this request, if any. */
export const chooseShadow = (
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
  const isTried = tried && input.random.next() < getTrialShare(tried, option, input, settings);
  return isTried ? tried.candidate.version : undefined;
};

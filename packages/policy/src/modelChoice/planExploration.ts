/**
 * Exploration by cascade: for a fraction of the requests, a version with too little evidence
 * answers first and is rated before release. Only answers with a good score are released, so trying
 * a bad version costs money and time, but hardly any quality.
 */
import type { CandidateEstimate } from './candidateEstimate.js';
import type { PlanOption } from './planOption.js';
import type { ChoiceSettings, PlanInput } from './types.js';

const canExplore = (input: PlanInput): boolean =>
  input.team.allowsExploration &&
  input.team.allowsCascade &&
  !input.team.isStrict &&
  input.isRaterUp;

const listUnproven = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
  settings: ChoiceSettings,
): readonly CandidateEstimate[] =>
  estimates.filter(
    (estimate) =>
      estimate.costMicroUsd < option.costMicroUsd &&
      estimate.candidate.evidence.weight < settings.minProvenWeight,
  );

/** Puts an unproven version before the chosen plan, for a small fraction of requests. */
export const planExploration = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
  input: PlanInput,
  settings: ChoiceSettings,
): PlanOption | undefined => {
  if (!canExplore(input) || input.random.next() >= settings.explorationShare) {
    return undefined;
  }
  const unproven = listUnproven(option, estimates, settings);
  const tried = unproven[input.random.nextInt(unproven.length)];
  const last = option.steps[option.steps.length - 1];
  if (!tried || !last) {
    return undefined;
  }
  const triedMs = tried.durationMs + input.ratingMs;
  if (triedMs + option.worstMs > input.remainingMs) {
    return undefined;
  }
  const acceptAboveScore = settings.explorationAcceptScore;
  return {
    steps: [{ version: tried.candidate.version, acceptAboveScore }, last],
    costMicroUsd: tried.costMicroUsd + input.ratingCostMicroUsd + option.costMicroUsd,
    expectedMs: triedMs + option.expectedMs,
    worstMs: triedMs + option.worstMs,
    qualityLowerBound: Math.min(acceptAboveScore, option.qualityLowerBound),
  };
};

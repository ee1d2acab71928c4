/**
 * Exploration: now and then a version with too little evidence tries first, rated before release.
 * Only answers that score well are released, so that learning about a bad version costs money and
 * time, but hardly quality.
 */
import type { CandidateEstimate } from './candidateEstimate.js';
import type { PlanOption } from './planOption.js';
import type { ChoiceSettings, PlanInput } from './types.js';

const mayExplore = (input: PlanInput): boolean =>
  input.team.allowsExploration &&
  input.team.allowsCascade &&
  !input.team.isStrict &&
  input.isRaterUp;

const listUnknown = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
  settings: ChoiceSettings,
): readonly CandidateEstimate[] =>
  estimates.filter(
    (estimate) =>
      estimate.costMicroUsd < option.costMicroUsd &&
      estimate.candidate.evidence.weight < settings.minProvenWeight,
  );

/** Puts an unknown version before the chosen plan, for a small share of requests. */
export const planExploration = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
  input: PlanInput,
  settings: ChoiceSettings,
): PlanOption | undefined => {
  if (!mayExplore(input) || input.random.next() >= settings.explorationShare) {
    return undefined;
  }
  const unknown = listUnknown(option, estimates, settings);
  const tried = unknown[input.random.nextInt(unknown.length)];
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

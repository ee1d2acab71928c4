/** Decides from the evidence how far a roll-out may go, and whether its version is too slow. */

/** Requests sent to both versions since the order, and the limit on those to a bad version. */
export interface RolloutExposure {
  readonly candidateRequests: number;
  readonly presentRequests: number;
  /** A version that turns out bad may get this share of all requests, and `slackRequests` more. */
  readonly allowedShare: number;
  readonly slackRequests: number;
}

/**
 * Evidence against slowness that each step of the schedule requires, as a likelihood ratio; the
 * index is the step's.
 */
const MIN_RATIO_OF_STEP: readonly number[] = [0, 0, 10, 50];

/** Step from which nearly all requests go to the new version. */
export const MAIN_STEP = 2;

export const LAST_STEP = MIN_RATIO_OF_STEP.length - 1;

/**
 * Answers that queue behind one another are not independent, so that the ratio that rolls a version
 * back is the square of the nominal one.
 */
const LOG_BAD_RATIO = 2 * Math.log(300);

/** Ratio that suffices once an unproven version has used up the allowed exposure. */
const LOG_LEAST_BAD_RATIO = Math.log(100);

/** Share of the allowed exposure that a version has used up so far. */
export const getUsedExposure = ({
  candidateRequests,
  presentRequests,
  allowedShare,
  slackRequests,
}: RolloutExposure): number => {
  const allowed = allowedShare * (candidateRequests + presentRequests) + slackRequests;
  return candidateRequests / Math.max(1, allowed);
};

/** Share of the allowed exposure that the rest of a roll-out may use up without any evidence. */
const MAX_HARMLESS_EXPOSURE = 0.8;

/**
 * Whether the limit would be kept even if all further requests went to the new version, as there are
 * few. `leftShare`: time left over time passed.
 */
export const isExposureHarmless = (exposure: RolloutExposure, leftShare: number): boolean => {
  const { candidateRequests, presentRequests } = exposure;
  const expected = (candidateRequests + presentRequests) * leftShare;
  const used = getUsedExposure({ ...exposure, candidateRequests: candidateRequests + expected });
  return used <= MAX_HARMLESS_EXPOSURE;
};

/** The highest step that needs no evidence. */
const FREE_STEP = MIN_RATIO_OF_STEP.lastIndexOf(0);

/** With this many answers of the new version and none of the present one, there is nothing to compare. */
const ANSWERS_WITHOUT_COMPARISON = 20;

/**
 * The highest step that the evidence allows. `evidence`: logarithm of the likelihood ratio of a slow
 * to a good version; undefined if nothing is known of the present version, as after a restart of all
 * daemons, or because it serves no longer.
 */
export const findAllowedStep = (evidence: number | undefined, candidateAnswers: number): number => {
  if (evidence === undefined) {
    return candidateAnswers >= ANSWERS_WITHOUT_COMPARISON ? LAST_STEP : FREE_STEP;
  }
  return MIN_RATIO_OF_STEP.findLastIndex((ratio) => ratio === 0 || evidence <= -Math.log(ratio));
};

/** Of several measures of slowness, the one that speaks most for it counts. */
export const combineEvidence = (all: readonly (number | undefined)[]): number | undefined => {
  const known = all.filter((one) => one !== undefined);
  return known.length > 0 ? Math.max(...known) : undefined;
};

/** Evidence for slowness at which a version is not completed, as a likelihood ratio. */
const MAX_RATIO_TO_COMPLETE = 3;

/** Whether the evidence allows to complete the roll-out, after which nothing takes it back. */
export const maySlownessBeExcluded = (evidence: number | undefined): boolean =>
  evidence === undefined || evidence <= Math.log(MAX_RATIO_TO_COMPLETE);

/**
 * Whether the version is to be rolled back as too slow. Before most requests go to it, the less
 * evidence suffices the more exposure it has used up.
 */
export const isVersionTooSlow = (
  evidence: number | undefined,
  exposure: RolloutExposure,
  step: number,
): boolean => {
  const used = step >= MAIN_STEP ? 0 : getUsedExposure(exposure);
  const limit = LOG_BAD_RATIO - (LOG_BAD_RATIO - LOG_LEAST_BAD_RATIO) * Math.min(1, used);
  return evidence !== undefined && evidence >= limit;
};

/**
 * Detects that a proven version got worse in production, one rating at a time. The wealth of each
 * stake of the betting test is kept at 1 or above (a CUSUM), so that a long good history cannot
 * hide a change. Otherwise the wealth would shrink so far that it took a thousand bad answers to
 * recover.
 */
import { DRIFT_ALARM_RATINGS } from './constants.js';
import { getLogMeanExp, STAKES } from './eProcess.js';
import { getQualityLowerBound } from './qualityBound.js';
import type { QualityEvidence } from './types.js';

/** State of the test for one task and version, over all teams. */
export interface DriftDetector {
  /** Log wealth of each stake since it was last at 1. */
  readonly logWealths: readonly number[];
}

const REFERENCE_CONFIDENCE = 0.9;
const MIN_REFERENCE_WEIGHT = 30;

/** Decrease of the mean rating that does not count as drift. */
const TOLERANCE = 0.02;

/** Creates a detector without observations. */
export const startDriftDetector = (): DriftDetector => ({ logWealths: STAKES.map(() => 0) });

const getNullBadness = (reference: QualityEvidence): number =>
  Math.min(1, 1 - getQualityLowerBound(reference, REFERENCE_CONFIDENCE) + TOLERANCE);

/**
 * Adds one rating. The reference is the team's evidence from some time ago, so that recent ratings
 * are not compared with themselves.
 */
export const updateDriftDetector = (
  detector: DriftDetector,
  score: number,
  reference: QualityEvidence,
): DriftDetector => {
  if (reference.weight < MIN_REFERENCE_WEIGHT) {
    return detector;
  }
  const nullBadness = getNullBadness(reference);
  const surprise = (1 - score - nullBadness) / nullBadness;
  const bet = (logWealth: number, index: number): number =>
    Math.max(0, logWealth + Math.log1p((STAKES[index] ?? 0) * surprise));
  return { logWealths: detector.logWealths.map(bet) };
};

/**
 * Whether the version has to be considered worse. False alarms are as rare as `DRIFT_ALARM_RATINGS`
 * says.
 */
export const hasDrifted = (detector: DriftDetector): boolean =>
  getLogMeanExp(detector.logWealths) >= Math.log(DRIFT_ALARM_RATINGS);

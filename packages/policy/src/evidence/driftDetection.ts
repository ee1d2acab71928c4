/**
 * Notices that a proven version got worse in production, rating by rating. Each stake of the
 * betting test is kept at 1 at least (a CUSUM), so that a long good past cannot hide a change: its
 * wealth would have shrunk so far that a thousand bad answers were needed to win it back.
 */
import { DRIFT_ALARM_RATINGS } from './constants.js';
import { getLogMeanExp, STAKES } from './eProcess.js';
import { getQualityLowerBound } from './qualityBound.js';
import type { QualityEvidence } from './types.js';

/** The test's state for one task and version, over all teams. */
export interface DriftDetector {
  /** Log wealth of each stake since it last stood at 1. */
  readonly logWealths: readonly number[];
}

const REFERENCE_CONFIDENCE = 0.9;
const MIN_REFERENCE_WEIGHT = 30;

/** Worsening of the mean rating that is no drift. */
const TOLERANCE = 0.02;

/** A detector that has seen nothing. */
export const startDriftDetector = (): DriftDetector => ({ logWealths: STAKES.map(() => 0) });

const getNullBadness = (reference: QualityEvidence): number =>
  Math.min(1, 1 - getQualityLowerBound(reference, REFERENCE_CONFIDENCE) + TOLERANCE);

/**
 * Takes in one rating. The reference is the team's evidence as of some time ago, so that the
 * recent ratings are not compared with themselves.
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

/** Whether the version must be taken to have got worse. A false alarm is as rare as set. */
export const hasDrifted = (detector: DriftDetector): boolean =>
  getLogMeanExp(detector.logWealths) >= Math.log(DRIFT_ALARM_RATINGS);

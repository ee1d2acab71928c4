/** Notices that a proven version got worse in production. */
import { getMeanIncreaseLogEValue } from './eProcess.js';
import { DRIFT_ALPHA } from './constants.js';
import { getQualityLowerBound } from './qualityBound.js';
import { sumBins } from './scoreBins.js';
import type { QualityEvidence } from './types.js';

/** What the test looks at. */
export interface DriftInput {
  /** The evidence that the version was proven on, without the recent ratings. */
  readonly reference: QualityEvidence;
  /** Ratings since then, by score bin. */
  readonly recentScores: readonly number[];
}

/** Result of the drift test. */
export interface DriftVerdict {
  readonly hasDrifted: boolean;
  readonly logEValue: number;
}

const REFERENCE_CONFIDENCE = 0.99;
const MIN_REFERENCE_WEIGHT = 30;

/** Tests whether recent ratings lie below what the version was proven on; may be asked any time. */
export const detectDrift = (input: DriftInput): DriftVerdict => {
  if (input.reference.weight < MIN_REFERENCE_WEIGHT || sumBins(input.recentScores) === 0) {
    return { hasDrifted: false, logEValue: 0 };
  }
  const badnessBound = 1 - getQualityLowerBound(input.reference, REFERENCE_CONFIDENCE);
  const badness = [...input.recentScores].reverse();
  const logEValue = getMeanIncreaseLogEValue([{ counts: badness, nullMean: badnessBound }]);
  return { hasDrifted: logEValue >= Math.log(1 / DRIFT_ALPHA), logEValue };
};

/** Confidence bounds of a version's mean score. */
import { getBinScore } from './scoreBins.js';
import type { QualityEvidence } from './types.js';

/**
 * Standard normal quantile by Acklam's rational approximation, with an error below 1e-8 of its
 * range.
 */
const CENTRAL_A = [
  -39.69683028665376, 220.9460984245205, -275.9285104469687, 138.357751867269, -30.66479806614716,
  2.506628277459239,
];
const CENTRAL_B = [
  -54.47609879822406, 161.5858368580409, -155.6989798598866, 66.80131188771972, -13.28068155288572,
  1,
];
const TAIL_C = [
  -0.007784894002430293, -0.3223964580411365, -2.400758277161838, -2.549732539343734,
  4.374664141464968, 2.938163982698783,
];
const TAIL_D = [0.007784695709041462, 0.3224671290700398, 2.445134137142996, 3.754408661907416, 1];
const TAIL_PROBABILITY = 0.02425;

const evaluatePolynomial = (coefficients: readonly number[], x: number): number =>
  coefficients.reduce((sum, coefficient) => sum * x + coefficient, 0);

const getTailQuantile = (probability: number): number => {
  const q = Math.sqrt(-2 * Math.log(probability));
  return evaluatePolynomial(TAIL_C, q) / evaluatePolynomial(TAIL_D, q);
};

/** Returns the value that a standard normal variable stays below with the given probability. */
export const getNormalQuantile = (probability: number): number => {
  if (probability < TAIL_PROBABILITY) {
    return getTailQuantile(probability);
  }
  if (probability > 1 - TAIL_PROBABILITY) {
    return -getTailQuantile(1 - probability);
  }
  const q = probability - 0.5;
  const r = q * q;
  return (q * evaluatePolynomial(CENTRAL_A, r)) / evaluatePolynomial(CENTRAL_B, r);
};

/**
 * Number of pseudo-ratings with a score of one half, which keep the bound finite with little
 * evidence.
 */
const PSEUDO_WEIGHT = 1;

const getVariance = (evidence: QualityEvidence): number =>
  evidence.scoreShares.reduce(
    (sum, share, bin) => sum + share * (getBinScore(bin) - evidence.mean) ** 2,
    0,
  );

const getBound = (evidence: QualityEvidence, z: number): number => {
  const weight = evidence.weight + PSEUDO_WEIGHT;
  const mean = (evidence.mean * evidence.weight + 0.5 * PSEUDO_WEIGHT) / weight;
  const spread = getVariance(evidence) * evidence.weight + 0.25 * PSEUDO_WEIGHT;
  const bound = mean + z * Math.sqrt(spread / weight / weight);
  return Math.min(1, Math.max(0, bound));
};

/**
 * Returns the mean score that the version exceeds with the given confidence (0.5 to 1), by a normal
 * approximation with the observed variance. Without evidence it is 0.
 */
export const getQualityLowerBound = (evidence: QualityEvidence, confidence: number): number =>
  evidence.weight === 0 ? 0 : getBound(evidence, -getNormalQuantile(confidence));

/**
 * Returns the mean score that the version stays below with the given confidence; 1 without
 * evidence.
 */
export const getQualityUpperBound = (evidence: QualityEvidence, confidence: number): number =>
  evidence.weight === 0 ? 1 : getBound(evidence, getNormalQuantile(confidence));

/**
 * Quality of answers after an escalation. Prompts on which a cheap version fails are harder than
 * average, so the more expensive version's mean over all prompts is too optimistic: cascades would
 * miss the target although every version looked proven. Until escalated answers have been rated,
 * part of the expensive version's failures is assumed to fall on the escalated prompts.
 */
import type { CandidateEstimate } from './candidateEstimate.js';
import type { ChoiceSettings } from './types.js';

/** A mean and the variance of its estimate. */
export interface MeanEstimate {
  readonly mean: number;
  readonly variance: number;
}

const BERNOULLI_MAX_VARIANCE = 0.25;

const getAssumedMean = (mean: number, escalateShare: number, correlation: number): number => {
  const worst = Math.max(0, 1 - (1 - mean) / Math.max(escalateShare, 1e-9));
  return mean - correlation * (mean - worst);
};

/** Estimates the rating of the next version on escalated prompts. */
export const estimateEscalation = (
  next: CandidateEstimate,
  escalateShare: number,
  settings: ChoiceSettings,
): MeanEstimate => {
  const assumed = getAssumedMean(next.evidence.mean, escalateShare, settings.escalationCorrelation);
  const observed = next.candidate.escalatedEvidence;
  const weight = observed?.weight ?? 0;
  const total = weight + settings.escalationPriorWeight;
  const sum = weight * (observed?.mean ?? 0) + settings.escalationPriorWeight * assumed;
  const mean = sum / total;
  return { mean, variance: Math.min(BERNOULLI_MAX_VARIANCE, mean * (1 - mean)) / total };
};

/** Candidate plans: direct answers and cascades of two versions. */
import {
  getBinScore,
  getNormalQuantile,
  getQualityLowerBound,
  SCORE_BIN_COUNT,
} from '../evidence/index.js';
import type { CandidateEstimate } from './candidateEstimate.js';
import { estimateEscalation, type MeanEstimate } from './escalationQuality.js';
import type { ChoiceSettings, PlanInput, PlanStep } from './types.js';

/** A candidate plan with its estimates. */
export interface PlanOption {
  readonly steps: readonly PlanStep[];
  readonly costMicroUsd: number;
  readonly expectedMs: number;
  /** Duration if every step is needed. */
  readonly worstMs: number;
  readonly qualityLowerBound: number;
}

/** Creates the plan that asks a single version. */
export const createDirectOption = (
  estimate: CandidateEstimate,
  confidence: number,
): PlanOption => ({
  steps: [{ version: estimate.candidate.version }],
  costMicroUsd: estimate.costMicroUsd,
  expectedMs: estimate.durationMs,
  worstMs: estimate.durationMs,
  qualityLowerBound: getQualityLowerBound(estimate.evidence, confidence),
});

interface AcceptedPart {
  readonly acceptShare: number;
  /**
   * Sums over the accepted scores: probability times score, and probability times squared score.
   */
  readonly scoreMass: number;
  readonly squareMass: number;
}

const nothingAccepted: AcceptedPart = { acceptShare: 0, scoreMass: 0, squareMass: 0 };

const acceptBin = (accepted: AcceptedPart, bin: number, share: number): AcceptedPart => {
  const score = getBinScore(bin);
  return {
    acceptShare: accepted.acceptShare + share,
    scoreMass: accepted.scoreMass + share * score,
    squareMass: accepted.squareMass + share * score * score,
  };
};

const getCascadeLowerBound = (
  first: CandidateEstimate,
  accepted: AcceptedPart,
  next: MeanEstimate,
  confidence: number,
): number => {
  const escalateShare = 1 - accepted.acceptShare;
  const mean = accepted.scoreMass + escalateShare * next.mean;
  const square = accepted.squareMass + escalateShare * next.mean ** 2;
  const firstVariance = Math.max(0, square - mean ** 2) / (first.evidence.weight + 1);
  const deviation = Math.sqrt(firstVariance + escalateShare ** 2 * next.variance);
  return mean - getNormalQuantile(confidence) * deviation;
};

/** Inputs shared by all cascades of the request. */
export interface CascadeContext {
  readonly input: PlanInput;
  readonly settings: ChoiceSettings;
  readonly confidence: number;
}

const createCascadeOption = (
  first: CandidateEstimate,
  next: CandidateEstimate,
  firstBin: number,
  accepted: AcceptedPart,
  context: CascadeContext,
): PlanOption => {
  const { ratingMs, ratingCostMicroUsd } = context.input;
  const escalateShare = Math.max(0, 1 - accepted.acceptShare);
  const escalation = estimateEscalation(next, escalateShare, context.settings);
  const triedMs = first.durationMs + ratingMs;
  return {
    steps: [
      { version: first.candidate.version, acceptAboveScore: firstBin / SCORE_BIN_COUNT },
      { version: next.candidate.version },
    ],
    costMicroUsd: first.costMicroUsd + ratingCostMicroUsd + escalateShare * next.costMicroUsd,
    expectedMs: triedMs + escalateShare * next.durationMs,
    worstMs: triedMs + next.durationMs,
    qualityLowerBound: getCascadeLowerBound(first, accepted, escalation, context.confidence),
  };
};

/**
 * Lists the cascades of two versions, one for each minimum score at which the first answer is
 * released.
 */
export const listCascadeOptions = (
  first: CandidateEstimate,
  next: CandidateEstimate,
  context: CascadeContext,
): readonly PlanOption[] => {
  const options: PlanOption[] = [];
  let accepted = nothingAccepted;
  for (let bin = SCORE_BIN_COUNT - 1; bin > 0; bin -= 1) {
    accepted = acceptBin(accepted, bin, first.evidence.scoreShares[bin] ?? 0);
    options.push(createCascadeOption(first, next, bin, accepted, context));
  }
  return options;
};

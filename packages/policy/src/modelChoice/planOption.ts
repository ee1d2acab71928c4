/** Plans to choose from: direct answers and cascades of two versions. */
import {
  getBinScore,
  getNormalQuantile,
  getQualityLowerBound,
  SCORE_BIN_COUNT,
} from '../evidence/index.js';
import type { CandidateEstimate } from './candidateEstimate.js';
import { estimateEscalation, type MeanEstimate } from './escalationQuality.js';
import type { ChoiceSettings, PlanInput, PlanStep } from './types.js';

/** One way to answer the request, with what is expected of it. */
export interface PlanOption {
  readonly steps: readonly PlanStep[];
  readonly costMicroUsd: number;
  readonly expectedMs: number;
  /** Time if every step is needed. */
  readonly worstMs: number;
  readonly qualityLowerBound: number;
}

/** The plan that asks one version. */
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
  /** Sum of probability times score, and times its square, over the accepted scores. */
  readonly scoreMass: number;
  readonly squareMass: number;
}

const getAcceptedPart = (scoreShares: readonly number[], firstBin: number): AcceptedPart => {
  let acceptShare = 0;
  let scoreMass = 0;
  let squareMass = 0;
  for (let bin = firstBin; bin < scoreShares.length; bin += 1) {
    const share = scoreShares[bin] ?? 0;
    const score = getBinScore(bin);
    acceptShare += share;
    scoreMass += share * score;
    squareMass += share * score * score;
  }
  return { acceptShare, scoreMass, squareMass };
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

/** The cascade that releases the first answer from the bin on, and else asks the next version. */
export const createCascadeOption = (
  first: CandidateEstimate,
  next: CandidateEstimate,
  firstBin: number,
  input: PlanInput,
  settings: ChoiceSettings,
  confidence: number,
): PlanOption => {
  const accepted = getAcceptedPart(first.evidence.scoreShares, firstBin);
  const escalateShare = 1 - accepted.acceptShare;
  const escalation = estimateEscalation(next, escalateShare, settings);
  const triedMs = first.durationMs + input.ratingMs;
  return {
    steps: [
      { version: first.candidate.version, acceptAboveScore: firstBin / SCORE_BIN_COUNT },
      { version: next.candidate.version },
    ],
    costMicroUsd: first.costMicroUsd + input.ratingCostMicroUsd + escalateShare * next.costMicroUsd,
    expectedMs: triedMs + escalateShare * next.durationMs,
    worstMs: triedMs + next.durationMs,
    qualityLowerBound: getCascadeLowerBound(first, accepted, escalation, confidence),
  };
};

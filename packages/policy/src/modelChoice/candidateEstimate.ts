/** Estimates the cost, duration and quality of a candidate for one request. */
import { addPrior, type QualityEvidence } from '../evidence/index.js';
import type { PlanInput, VersionCandidate } from './types.js';

const TOKENS_PER_PRICE_UNIT = 1_000_000;

/** A candidate with its estimates for the request. */
export interface CandidateEstimate {
  readonly candidate: VersionCandidate;
  readonly evidence: QualityEvidence;
  readonly costMicroUsd: number;
  readonly durationMs: number;
}

const getCost = (candidate: VersionCandidate, input: PlanInput): number => {
  const prompt = input.promptTokens * candidate.inputMicroUsdPerMillionTokens;
  const answer = input.expectedCompletionTokens * candidate.outputMicroUsdPerMillionTokens;
  return (prompt + answer) / TOKENS_PER_PRICE_UNIT;
};

export const estimateCandidate = (
  candidate: VersionCandidate,
  input: PlanInput,
): CandidateEstimate => ({
  candidate,
  evidence: addPrior(candidate.evidence, candidate.priorQuality),
  costMicroUsd: getCost(candidate, input),
  durationMs: candidate.firstTokenMs + input.expectedCompletionTokens * candidate.msPerToken,
});

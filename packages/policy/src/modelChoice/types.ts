/**
 * Types of the model choice: which version answers a request, and whether a cheaper one is tried
 * first.
 */
import type { Random, VersionId } from '@snipehaven/common';
import type { PriorQuality, QualityEvidence } from '../evidence/index.js';

/** A team's preferences, each from 0 to 1. */
export interface TeamWeights {
  readonly cost: number;
  readonly latency: number;
  readonly exposure: number;
}

/** The team's settings for the request's task. */
export interface TeamChoiceSettings {
  /** Mean rating that the answers must reach, from 0 to 1. */
  readonly qualityTarget: number;
  /** Strict tasks are never explored and only run on proven versions. */
  readonly isStrict: boolean;
  readonly allowsCascade: boolean;
  readonly allowsExploration: boolean;
  readonly weights: TeamWeights;
}

/** A version that may answer: allowed, not withdrawn and not quarantined. */
export interface VersionCandidate {
  readonly version: VersionId;
  readonly inputMicroUsdPerMillionTokens: number;
  readonly outputMicroUsdPerMillionTokens: number;
  /** Pooled evidence of its direct answers, to which the choice adds the prior. */
  readonly evidence: QualityEvidence;
  /** Pooled evidence of its answers after an escalation, if there are any. */
  readonly escalatedEvidence?: QualityEvidence;
  /** The operators' expectation, unless the evidence already includes it. */
  readonly priorQuality?: PriorQuality;
  /** Expected time to the first token, including queueing. */
  readonly firstTokenMs: number;
  readonly msPerToken: number;
  /** Whether the request's session is pinned to this version. */
  readonly isPinned?: boolean;
}

/** Input of the plan for one request. */
export interface PlanInput {
  readonly task: string;
  readonly team: TeamChoiceSettings;
  readonly candidates: readonly VersionCandidate[];
  readonly promptTokens: number;
  readonly expectedCompletionTokens: number;
  readonly ratingCostMicroUsd: number;
  readonly ratingMs: number;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  readonly isRaterUp: boolean;
  /** Only idempotent requests are executed a second time in the shadow; defaults to false. */
  readonly isIdempotent?: boolean;
  readonly random: Random;
  readonly settings?: ChoiceSettings;
}

/** One version to ask. */
export interface PlanStep {
  readonly version: VersionId;
  /**
   * If present, the answer is rated before release, and a score below this leads to the next step.
   */
  readonly acceptAboveScore?: number;
}

/** Reason for the choice of a plan. */
export type PlanReason =
  'pinned' | 'direct' | 'cascade' | 'exploration' | 'bestAvailable' | 'noEvidence' | 'noCandidate';

/** How to answer a request. */
export interface RequestPlan {
  /** In order; empty only if there is no candidate. */
  readonly steps: readonly PlanStep[];
  readonly reason: PlanReason;
  /** Expected cost of answers and ratings, averaged over the probability of escalation. */
  readonly expectedCostMicroUsd: number;
  readonly expectedMs: number;
  /** Lower confidence bound of the plan's mean rating. */
  readonly qualityLowerBound: number;
  /** Whether to send the released answer to the rater, unless it was rated before release. */
  readonly shouldRateAfterRelease: boolean;
  /**
   * If present, this version is asked as well, at the lowest priority and at the platform's
   * expense; its answer is rated and never released. The rating counts as a direct one and, if the
   * request escalates, also as an escalated one.
   */
  readonly shadowVersion?: VersionId;
}

/** How versions with too little evidence are tried. */
export type ExplorationMode = 'cascade' | 'shadow';

export interface ChoiceSettings {
  /** Confidence with which a plan must meet the team's target. */
  readonly confidence: number;
  readonly strictConfidence: number;
  /** Number of ratings from which a version may be used in a cascade. */
  readonly minProvenWeight: number;
  readonly explorationMode: ExplorationMode;
  /** Fraction of requests that try a version with too little evidence. */
  readonly explorationShare: number;
  /**
   * Fraction of the plan's expected cost that the shadow mode may spend; expensive plans are
   * explored more.
   */
  readonly explorationCostShare: number;
  /** Number of ratings from which the shadow mode no longer tries a version. */
  readonly sufficientWeight: number;
  /** Minimum score at which an explored version's answer is released. */
  readonly explorationAcceptScore: number;
  /** Latency that weighs as much as the cost of the most expensive candidate. */
  readonly latencyScaleMs: number;
  /** Minimum fraction of answers that are rated after release, to detect drift. */
  readonly ratingShare: number;
  /**
   * Fraction of an answer's cost that may be spent on rating it; expensive answers are rated more
   * often.
   */
  readonly ratingCostShare: number;
  /**
   * Minimum fraction of rated answers while the team's own evidence is below `wellProvenWeight`.
   */
  readonly unprovenRatingShare: number;
  readonly wellProvenWeight: number;
  /**
   * From 0, where versions fail on unrelated prompts, to 1, where all failures of the more
   * expensive version are among the prompts on which the cheaper one fails. Used until escalated
   * answers have been rated.
   */
  readonly escalationCorrelation: number;
  /** Number of ratings that this assumption is worth. */
  readonly escalationPriorWeight: number;
}

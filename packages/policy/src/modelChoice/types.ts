/** Model choice: which version answers a request, and whether a cheaper one may try first. */
import type { Random, VersionId } from '@snipehaven/common';
import type { PriorQuality, QualityEvidence } from '../evidence/index.js';

/** What a team weighs, each from 0 to 1. */
export interface TeamWeights {
  readonly cost: number;
  readonly latency: number;
  readonly exposure: number;
}

/** The team's settings for the request's task. */
export interface TeamChoiceSettings {
  /** Mean rating that the answers must reach, 0 to 1. */
  readonly qualityTarget: number;
  /** Strict tasks never explore and run on proven versions only. */
  readonly isStrict: boolean;
  readonly allowsCascade: boolean;
  readonly allowsExploration: boolean;
  readonly weights: TeamWeights;
}

/** A version that may answer: permitted, not withdrawn, not quarantined. */
export interface VersionCandidate {
  readonly version: VersionId;
  readonly inputMicroUsdPerMillionTokens: number;
  readonly outputMicroUsdPerMillionTokens: number;
  /** Pooled evidence of its direct answers; the prior is added to it by the choice. */
  readonly evidence: QualityEvidence;
  /** Pooled evidence of its answers after an escalation, where there is any. */
  readonly escalatedEvidence?: QualityEvidence;
  /** The operators' expectation, unless it is already pooled into the evidence. */
  readonly priorQuality?: PriorQuality;
  /** Expected time to the first token, queueing included. */
  readonly firstTokenMs: number;
  readonly msPerToken: number;
  /** The request's session runs on this version. */
  readonly isPinned?: boolean;
}

/** All that the plan of one request depends on. */
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
  /** Only idempotent requests are run a second time in the shadow; absent means it is not. */
  readonly isIdempotent?: boolean;
  readonly random: Random;
  readonly settings?: ChoiceSettings;
}

/** One version to ask. */
export interface PlanStep {
  readonly version: VersionId;
  /** Present: rate the answer before its release, and go on to the next step below this score. */
  readonly acceptAboveScore?: number;
}

/** Why a plan was chosen. */
export type PlanReason =
  'pinned' | 'direct' | 'cascade' | 'exploration' | 'bestAvailable' | 'noEvidence' | 'noCandidate';

/** How to answer a request. */
export interface RequestPlan {
  /** In order; empty only without any candidate. */
  readonly steps: readonly PlanStep[];
  readonly reason: PlanReason;
  /** Answers and ratings, averaged over the chances of escalation. */
  readonly expectedCostMicroUsd: number;
  readonly expectedMs: number;
  /** Lower confidence bound of the plan's mean rating. */
  readonly qualityLowerBound: number;
  /** Whether to send the released answer to the rater, unless it was rated before its release. */
  readonly shouldRateAfterRelease: boolean;
  /**
   * Present: ask this version too, at the lowest priority and at the platform's expense; its answer
   * is rated and never released. The rating counts as a direct one and, if the request escalates,
   * as an escalated one too.
   */
  readonly shadowVersion?: VersionId;
}

/** How versions with too little evidence are tried. */
export type ExplorationMode = 'cascade' | 'shadow';

/** Settings of the model choice. */
export interface ChoiceSettings {
  /** Confidence at which a plan must meet the team's target. */
  readonly confidence: number;
  readonly strictConfidence: number;
  /** Ratings that make a version usable as the first of a cascade. */
  readonly minProvenWeight: number;
  readonly explorationMode: ExplorationMode;
  /** Share of requests that try a version with too little evidence. */
  readonly explorationShare: number;
  /** Part of the plan's expected cost that the shadow mode may spend; it explores dear plans more. */
  readonly explorationCostShare: number;
  /** Ratings of a version at which the shadow mode tries it no more. */
  readonly sufficientWeight: number;
  /** Score above which an explored version's answer is released. */
  readonly explorationAcceptScore: number;
  /** Latency that weighs as much as the dearest candidate's cost. */
  readonly latencyScaleMs: number;
  /** Share of answers rated after their release, at least, to notice drift. */
  readonly ratingShare: number;
  /** Part of an answer's cost that may be spent on rating it: dear answers are rated more often. */
  readonly ratingCostShare: number;
  /** The same while the team's own evidence is thinner than `wellProvenWeight`. */
  readonly unprovenRatingShare: number;
  readonly wellProvenWeight: number;
  /**
   * From 0, versions fail on unrelated prompts, to 1, the dearer one's failures all lie among the
   * prompts on which the cheaper one failed. Used until escalated answers have been rated.
   */
  readonly escalationCorrelation: number;
  /** How many ratings that assumption counts for. */
  readonly escalationPriorWeight: number;
}

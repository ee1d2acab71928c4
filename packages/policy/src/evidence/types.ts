/** Evidence about the quality of versions, as counted, merged and folded. */
import type { TeamId, VersionId } from '@snipehaven/common';

/** What one cell of evidence is about. */
export interface EvidenceKey {
  readonly team: TeamId;
  readonly task: string;
  readonly version: VersionId;
  /**
   * An escalated answer replaced a cheaper one that was rated too low. Its prompts are harder
   * than the average, so its ratings are kept apart from those of direct answers.
   */
  readonly position: AnswerPosition;
}

/** Where in a plan an answer stood. */
export type AnswerPosition = 'direct' | 'escalated';

/** Outcomes counted by one source during one epoch; each count only ever grows. */
export interface OutcomeCounts {
  /** Ratings by score, in {@link SCORE_BIN_COUNT} bins. */
  readonly scoreCounts: readonly number[];
  /** Answers that ended in any way, rated or not. */
  readonly answerCount: number;
  /** Answers that ended in an error of the engine. */
  readonly errorCount: number;
  /** Answers without text. */
  readonly emptyCount: number;
  /** Answers cut off before their end. */
  readonly cutCount: number;
  /** Answers slower than the threshold in force when they ended. */
  readonly slowCount: number;
}

/** How one answer ended, before any rating of it. */
export type AnswerEnd = 'complete' | 'error' | 'empty' | 'cut';

/** What can be counted: the end of an answer, or its rating, which comes later or never. */
export type Outcome =
  | { readonly type: 'ended'; readonly end: AnswerEnd; readonly isSlow: boolean }
  | { readonly type: 'rated'; readonly score: number };

/** Counters of one source during one epoch. */
export interface EvidenceShare {
  /** A daemon's incarnation, or a data centre's aggregate. */
  readonly source: string;
  /** Number of the epoch since 1970. */
  readonly epoch: number;
  /** How often the version had drifted when this was counted. */
  readonly era: number;
  readonly counts: OutcomeCounts;
}

/**
 * All that is known about one key: a join-semilattice. Shares of the same source and epoch join by
 * the maximum of each count, shares of different ones stand side by side.
 */
export interface EvidenceCell {
  /** Rises when a drift is noticed; counts of earlier eras no longer speak for the version. */
  readonly era: number;
  readonly shares: readonly EvidenceShare[];
}

/** Counts folded over sources and epochs, old ones weighed less. */
export type WeightedCounts = OutcomeCounts;

/** The pooled estimate of an answer's quality. */
export interface QualityEvidence {
  /** Probability of each score bin; sums to 1, or to 0 when nothing is known. */
  readonly scoreShares: readonly number[];
  /** Mean score. */
  readonly mean: number;
  /** How many ratings the estimate is worth. */
  readonly weight: number;
  /** Ratings of this very team and task, decayed, without any pooling. */
  readonly ownWeight: number;
}

/** The operators' expectation of a version before evidence arrives. */
export interface PriorQuality {
  readonly quality: number;
  /** How many ratings the expectation counts for. */
  readonly weight: number;
}

/** Types of the evidence about the quality of versions. */
import type { TeamId, VersionId } from '@snipehaven/common';

/** Identifies one cell of evidence. */
export interface EvidenceKey {
  readonly team: TeamId;
  readonly task: string;
  readonly version: VersionId;
  /**
   * An escalated answer replaces a cheaper one that was rated too low. Its prompts are harder than
   * average, so its ratings are kept apart from those of direct answers.
   */
  readonly position: AnswerPosition;
}

/** Whether an answer is the first of its plan or follows an escalation. */
export type AnswerPosition = 'direct' | 'escalated';

/** Counts of one source during one epoch; each count only ever increases. */
export interface OutcomeCounts {
  /** Ratings by score, in {@link SCORE_BIN_COUNT} bins. */
  readonly scoreCounts: readonly number[];
  /** Answers that ended in any way, whether or not they were rated. */
  readonly answerCount: number;
  /** Answers that ended with an engine error. */
  readonly errorCount: number;
  /** Answers without text. */
  readonly emptyCount: number;
  /** Truncated answers. */
  readonly cutCount: number;
  /** Answers slower than the threshold that was in force when they ended. */
  readonly slowCount: number;
}

/** How an answer ended, before it is rated. */
export type AnswerEnd = 'complete' | 'error' | 'empty' | 'cut';

/** An observation to count: the end of an answer, or its rating, which arrives later or never. */
export type Outcome =
  | { readonly type: 'ended'; readonly end: AnswerEnd; readonly isSlow: boolean }
  | { readonly type: 'rated'; readonly score: number };

/** The counters of one source during one epoch. */
export interface EvidenceShare {
  /** A daemon's incarnation, or the aggregate of a data centre. */
  readonly source: string;
  /** Number of epochs since 1970. */
  readonly epoch: number;
  /** Number of drifts of the version that had been detected when this was counted. */
  readonly era: number;
  readonly counts: OutcomeCounts;
}

/**
 * All evidence for one key, as a join-semilattice: shares of the same source and epoch join by the
 * maximum of each count, and shares of different sources or epochs are kept side by side.
 */
export interface EvidenceCell {
  /** Increases when a drift is detected; counts of earlier eras no longer apply to the version. */
  readonly era: number;
  readonly shares: readonly EvidenceShare[];
}

/** Counts summed over sources and epochs, with older ones weighted less. */
export type WeightedCounts = OutcomeCounts;

/** Pooled estimate of the quality of an answer. */
export interface QualityEvidence {
  /** Probability of each score bin; the sum is 1, or 0 if nothing is known. */
  readonly scoreShares: readonly number[];
  /** Mean score. */
  readonly mean: number;
  /** Number of ratings that the estimate is worth. */
  readonly weight: number;
  /** Decayed number of ratings of this team and task alone, without pooling. */
  readonly ownWeight: number;
}

/** The operators' expectation of a version before there is evidence. */
export interface PriorQuality {
  readonly quality: number;
  /** Number of ratings that the expectation is worth. */
  readonly weight: number;
}

/** Types of roll-outs: the operators' declarations, the current state and the daemons' exposure. */
import type { IncarnationId, Random, VersionId } from '@snipehaven/common';
import type { OutcomeCounts } from '../evidence/index.js';

/** One stage as declared by the operators. */
export interface RolloutStage {
  /** Share of new sessions and sessionless requests, in percent. */
  readonly sharePct: number;
  /** Minimum number of ratings in this stage before the next one starts. */
  readonly minRatings: number;
}

/** A declared roll-out that replaces the stable version by a candidate. */
export interface RolloutDefinition {
  /** Unique for this roll-out and its generation. */
  readonly rolloutId: string;
  readonly stableVersion: VersionId;
  readonly candidateVersion: VersionId;
  readonly stages: readonly RolloutStage[];
  /** Maximum number of unrated candidate answers at a time, over all daemons. */
  readonly exposureBudget: number;
  /** Decrease of the mean rating, in percentage points, that is acceptable for an advance. */
  readonly maxFailureIncreasePct: number;
  readonly isPaused: boolean;
}

/**
 * In the shadow phase the candidate answers in parallel and its answers are not released. While
 * running, it answers callers, stage by stage.
 */
export type RolloutPhase = 'shadow' | 'running' | 'quarantined' | 'finished';

/** The state of a roll-out in the platform's table: all that the next lease holder needs. */
export interface RolloutProgress {
  readonly rolloutId: string;
  readonly phase: RolloutPhase;
  /** Index into the stages. */
  readonly stage: number;
  readonly stageStartedAtMs: number;
  /** Number of ratings of the candidate at the start of the stage. */
  readonly ratingsAtStageStart: number;
  /** Fencing number of the lease under which this was written. */
  readonly fence: number;
}

/**
 * What the lease holder allows one daemon. Numbers are totals, so a duplicate or delayed grant does
 * no harm.
 */
export interface ExposureGrant {
  readonly rolloutId: string;
  readonly incarnation: IncarnationId;
  readonly fence: number;
  /**
   * Total number of candidate answers that the daemon may start since the beginning of the
   * roll-out.
   */
  readonly grantedCount: number;
  /** Share of the daemon's new sessions and sessionless requests, in percent. */
  readonly sharePct: number;
}

/** A daemon's report to the lease holder, as totals since the beginning of the roll-out. */
export interface DaemonExposure {
  readonly incarnation: IncarnationId;
  /** False once membership has declared the daemon dead. */
  readonly isLive: boolean;
  /** The highest grant known for the daemon. */
  readonly grantedCount: number;
  /** Candidate answers started. */
  readonly exposedCount: number;
  /**
   * Candidate answers with a known outcome: rated, or ended in a failure. An answer that the rater
   * skipped counts as known once the rater has passed it; while the rater is down, none does.
   */
  readonly judgedCount: number;
}

/** The team and task on whose behalf a version is requested. */
export interface RolloutAudience {
  /**
   * The team's sensitivity to bad versions, from 0 to 1. Teams with a high one only take part in
   * the last stage.
   */
  readonly exposureWeight?: number;
  readonly isStrict: boolean;
  readonly allowsExploration: boolean;
  readonly allowsCascade: boolean;
}

/** Input of the assignment of a NEW session or a sessionless request. */
export interface AssignmentInput {
  readonly definition: RolloutDefinition;
  readonly progress: RolloutProgress;
  /** The grant of this daemon's current incarnation; without one, the daemon exposes nothing. */
  readonly grant?: ExposureGrant;
  /** Candidate answers that this daemon has charged to the grant so far. */
  readonly exposedCount: number;
  /**
   * Number of answers charged at once: 1 without a session, otherwise the expected length of the
   * session.
   */
  readonly expectedAnswers: number;
  /** In the shadow phase, only idempotent requests may be executed a second time. */
  readonly isIdempotent: boolean;
  readonly audience: RolloutAudience;
  readonly isRaterUp: boolean;
  readonly random: Random;
  readonly settings?: RolloutSettings;
}

export type AssignmentReason =
  | 'assigned'
  | 'shadowed'
  | 'finished'
  | 'notRunning'
  | 'audience'
  | 'noGrant'
  | 'grantUsedUp'
  | 'raterDown'
  | 'outsideShare';

/** The version that a request or session is assigned to. */
export interface RolloutAssignment {
  readonly version: VersionId;
  readonly isCandidate: boolean;
  /**
   * If present, this version is asked as well, at the lowest priority and at the platform's
   * expense. Both answers are rated, and the assigned version's answer is released without waiting.
   */
  readonly shadowVersion?: VersionId;
  /** Amount to add to the daemon's `exposedCount`. */
  readonly chargedCount: number;
  readonly reason: AssignmentReason;
}

/** Counts of both versions for the same kind of prompt, such as one team's task. */
export interface GuardStratum {
  readonly candidate: OutcomeCounts;
  /** Counts of the stable version, decayed to the recent past. */
  readonly stable: OutcomeCounts;
}

/** Input of the guard, which may run at any time. */
export interface GuardInput {
  readonly definition: RolloutDefinition;
  readonly progress: RolloutProgress;
  readonly strata: readonly GuardStratum[];
  /** Score differences of prompts that both versions answered, summed over all daemons. */
  readonly pairCounts?: readonly number[];
  readonly settings?: RolloutSettings;
}

/** Signals of the guard; `pair` compares both versions on the same prompts. */
export type GuardSignal = 'pair' | 'rating' | 'error' | 'empty' | 'cut' | 'slow';

export type GuardVerdict = 'continue' | 'quarantine' | 'advance';

/** The guard's verdict and the evidence for it. */
export interface GuardResult {
  readonly verdict: GuardVerdict;
  /** Log e-values against the hypothesis "the candidate is no worse than the stable version". */
  readonly logEValues: Readonly<Record<GuardSignal, number>>;
  /** Log of their mean, which is itself an e-value. */
  readonly logEValue: number;
  /**
   * Log e-value against the hypothesis "the candidate is worse by at least the accepted margin".
   */
  readonly advanceLogEValue: number;
  /** The signal with the highest e-value. */
  readonly strongestSignal: GuardSignal;
  readonly ratingCount: number;
  readonly pairCount: number;
}

export interface RolloutSettings {
  /** Probability that a good candidate is ever quarantined. */
  readonly quarantineAlpha: number;
  /** Probability that a stage advances although the candidate is worse by the margin. */
  readonly advanceAlpha: number;
  /**
   * Number of standard errors added to the stable version's estimate to account for its
   * uncertainty.
   */
  readonly stableBoundZ: number;
  /** Minimum number of answers for which a daemon gets a grant. */
  readonly answersPerDaemonGrant: number;
  /** Unrated answers allowed for each rated one, once that exceeds the budget. */
  readonly budgetGrowth: number;
  /** Maximum percentage of a daemon's requests that go to the candidate before the last stage. */
  readonly maxDaemonSharePct: number;
  /**
   * Percentage of idempotent requests that the candidate answers in the shadow phase; 0 skips the
   * phase.
   */
  readonly shadowSharePct: number;
  /** Probability that the shadow phase ends although the candidate is worse by the margin. */
  readonly shadowAlpha: number;
  /** Minimum number of pairs before the shadow phase can end. */
  readonly minShadowPairs: number;
}

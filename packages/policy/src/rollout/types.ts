/** Roll-outs: what operators declare, what is in force, and what each daemon may expose. */
import type { IncarnationId, Random, VersionId } from '@snipehaven/common';
import type { OutcomeCounts } from '../evidence/index.js';

/** One stage as the operators declare it. */
export interface RolloutStage {
  /** Share of new sessions and sessionless requests, in percent. */
  readonly sharePct: number;
  /** Ratings in this stage before the next one. */
  readonly minRatings: number;
}

/** A declared roll-out of a candidate version in place of the stable one. */
export interface RolloutDefinition {
  /** Unique for this roll-out and its generation. */
  readonly rolloutId: string;
  readonly stableVersion: VersionId;
  readonly candidateVersion: VersionId;
  readonly stages: readonly RolloutStage[];
  /** Unrated answers of the candidate that may be out at a time, over all daemons. */
  readonly exposureBudget: number;
  /** Worsening of the mean rating, in points of a hundred, that is accepted for an advance. */
  readonly maxFailureIncreasePct: number;
  readonly isPaused: boolean;
}

/**
 * In the shadow phase the candidate answers in parallel and nobody sees its answers; while running
 * it answers callers, by stages.
 */
export type RolloutPhase = 'shadow' | 'running' | 'quarantined' | 'finished';

/** The state of a roll-out in the platform's table; all that the next holder needs. */
export interface RolloutProgress {
  readonly rolloutId: string;
  readonly phase: RolloutPhase;
  /** Index into the stages. */
  readonly stage: number;
  readonly stageStartedAtMs: number;
  /** Ratings of the candidate when the stage began. */
  readonly ratingsAtStageStart: number;
  /** Fencing number of the lease under which this was written. */
  readonly fence: number;
}

/** What the holder allows one daemon. Numbers are totals, so that a repeated or late grant is harmless. */
export interface ExposureGrant {
  readonly rolloutId: string;
  readonly incarnation: IncarnationId;
  readonly fence: number;
  /** Candidate answers that the daemon may start in all, since the roll-out began. */
  readonly grantedCount: number;
  /** Share of the daemon's new sessions and sessionless requests, in percent. */
  readonly sharePct: number;
}

/** What a daemon reports to the holder; totals since the roll-out began. */
export interface DaemonExposure {
  readonly incarnation: IncarnationId;
  /** False once the membership has declared it dead. */
  readonly isLive: boolean;
  /** The highest grant known for it. */
  readonly grantedCount: number;
  /** Candidate answers started. */
  readonly exposedCount: number;
  /**
   * Candidate answers whose outcome is known: rated, or ended badly. A rating that the rater left
   * out counts as known once the rater has passed it by; while the rater is down nothing does.
   */
  readonly judgedCount: number;
}

/** Who asks for a version. */
export interface RolloutAudience {
  /** The team's weight of exposure to bad versions, 0 to 1; heavy ones wait for the last stage. */
  readonly exposureWeight?: number;
  readonly isStrict: boolean;
  readonly allowsExploration: boolean;
  readonly allowsCascade: boolean;
}

/** Input of the assignment of a NEW session or a sessionless request. */
export interface AssignmentInput {
  readonly definition: RolloutDefinition;
  readonly progress: RolloutProgress;
  /** This daemon's grant of this very incarnation; absent: it exposes nothing. */
  readonly grant?: ExposureGrant;
  /** Candidate answers that this daemon has charged to the grant so far. */
  readonly exposedCount: number;
  /** Answers charged at once: 1 without a session, else the expected length of a session. */
  readonly expectedAnswers: number;
  /** Only idempotent requests may be run a second time in the shadow. */
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

/** Which version the request or session gets. */
export interface RolloutAssignment {
  readonly version: VersionId;
  readonly isCandidate: boolean;
  /**
   * Present: ask this version too, at the lowest priority and at the platform's expense, rate both
   * answers, and release the assigned version's without waiting.
   */
  readonly shadowVersion?: VersionId;
  /** What to add to the daemon's `exposedCount`. */
  readonly chargedCount: number;
  readonly reason: AssignmentReason;
}

/** Counts of the same kind of prompt, such as one team's task, under both versions. */
export interface GuardStratum {
  readonly candidate: OutcomeCounts;
  /** The stable version's, decayed to the recent past. */
  readonly stable: OutcomeCounts;
}

/** Input of the guard, which may be asked at any time. */
export interface GuardInput {
  readonly definition: RolloutDefinition;
  readonly progress: RolloutProgress;
  readonly strata: readonly GuardStratum[];
  /** Score differences of prompts answered by both versions, folded over all daemons. */
  readonly pairCounts?: readonly number[];
  readonly settings?: RolloutSettings;
}

/** What the guard watches; `pair` compares both versions on the same prompts. */
export type GuardSignal = 'pair' | 'rating' | 'error' | 'empty' | 'cut' | 'slow';

export type GuardVerdict = 'continue' | 'quarantine' | 'advance';

/** The guard's verdict with the evidence for it. */
export interface GuardResult {
  readonly verdict: GuardVerdict;
  /** Log e-values against "the candidate is no worse than the stable version". */
  readonly logEValues: Readonly<Record<GuardSignal, number>>;
  /** Log of their mean, which is an e-value itself. */
  readonly logEValue: number;
  /** Log e-value against "the candidate is worse by the accepted margin or more". */
  readonly advanceLogEValue: number;
  /** The signal with the highest e-value. */
  readonly strongestSignal: GuardSignal;
  readonly ratingCount: number;
  readonly pairCount: number;
}

/** Settings of roll-outs. */
export interface RolloutSettings {
  /** Chance that a good candidate is ever quarantined. */
  readonly quarantineAlpha: number;
  /** Chance that a stage is left although the candidate is worse by the margin. */
  readonly advanceAlpha: number;
  /** Standard errors that the stable version's estimate is raised by, for it is no exact number. */
  readonly stableBoundZ: number;
  /** Answers a daemon must get to be worth a grant. */
  readonly answersPerDaemonGrant: number;
  /** Unrated answers allowed beyond the budget, for each rated one. */
  readonly budgetGrowth: number;
  /** Most of a daemon's requests that go to the candidate before the last stage. */
  readonly maxDaemonSharePct: number;
  /** Share of idempotent requests that the candidate answers in the shadow phase; 0: no such phase. */
  readonly shadowSharePct: number;
  /** Chance that the shadow phase is left although the candidate is worse by the margin. */
  readonly shadowAlpha: number;
  /** Pairs before the shadow phase is left, at least. */
  readonly minShadowPairs: number;
}

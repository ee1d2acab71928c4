/** Interface of evidence and roll-outs for the request path. */
import type { VersionId } from '@snipehaven/common';
import type { PriorQuality, QualityEvidence } from '@snipehaven/policy';

/** The group of answers that evidence is collected for. */
export interface EvidenceSubject {
  readonly team: string;
  readonly task: string;
  readonly version: VersionId;
  /** Whether the answer replaced one of a cheaper version that was rated too low. */
  readonly isEscalated: boolean;
}

/** How an answer ended. */
export interface AnswerEnding {
  readonly end: 'complete' | 'error' | 'empty' | 'cut';
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** An answer to submit to the rater. */
export interface AnswerSample {
  readonly requestId: string;
  readonly prompt: string;
  readonly answer: string;
}

/** Answers of both versions to the same prompt, rated as a pair. */
export interface AnswerPair {
  readonly requestId: string;
  readonly prompt: string;
  readonly stable: PairedAnswer;
  readonly candidate: PairedAnswer;
}

export interface PairedAnswer {
  readonly subject: EvidenceSubject;
  readonly answer: string;
}

export interface EvidenceStore {
  /** Returns evidence pooled over all daemons. */
  getEvidence(subject: EvidenceSubject, prior: PriorQuality): QualityEvidence;
  recordEnding(subject: EvidenceSubject, ending: AnswerEnding): void;
  recordScore(subject: EvidenceSubject, score: number): void;
  /** Submits an answer to the rater in the background; the score arrives later or never. */
  submitSample(subject: EvidenceSubject, sample: AnswerSample): void;
  /**
   * Submits both answers of a pair to the rater in the background; the pair is counted once both
   * scores have arrived.
   */
  submitPair(pair: AnswerPair): void;
  /** Rates inline, for a cascade; throws if the rater does not answer within the timeout. */
  rateNow(subject: EvidenceSubject, sample: AnswerSample, timeoutMs: number): Promise<number>;
  isRaterUp(): boolean;
}

/** The request or session that needs an assignment. */
export interface AssignmentAudience {
  readonly isStrict: boolean;
  readonly allowsExploration: boolean;
  readonly allowsCascade: boolean;
  readonly isSession: boolean;
  /** Only idempotent requests are also sent to the shadow version. */
  readonly isIdempotent?: boolean;
  /** Repeated calls for the same request return the same assignment and are charged once. */
  readonly requestId?: string;
  /** Versions that may answer this request; a candidate not among them is not assigned. */
  readonly usableVersions?: readonly string[];
}

/** The decision of a model's roll-out for one new session or sessionless request. */
export interface ModelAssignment {
  /** The version to use. */
  readonly version: VersionId;
  /** Versions of the model that are excluded from the choice. */
  readonly hidden: readonly VersionId[];
  readonly isCandidate: boolean;
  /**
   * Rate the answer before releasing it; if the score is too low, the stable version answers
   * instead.
   */
  readonly isGated: boolean;
  readonly stableVersion: VersionId;
  readonly candidateVersion: VersionId;
  /** The answer must be submitted to the rater, whatever fraction of answers is normally rated. */
  readonly shouldRate?: boolean;
  /**
   * The version to run as a shadow of the stable version; both answers are rated as a pair and only
   * the stable one is returned.
   */
  readonly shadowVersion?: VersionId;
}

export interface RolloutAssigner {
  /** Returns undefined if the model has no roll-out. */
  assign(model: string, audience: AssignmentAudience): ModelAssignment | undefined;
  /** Releases the unused part of the request's reservation; call when the request has ended. */
  release?(requestId: string): void;
}

/** Progress of a roll-out, for operators. */
export interface RolloutReport {
  readonly name: string;
  readonly model: string;
  readonly stableVersion: string;
  readonly candidateVersion: string;
  readonly phase: 'waiting' | 'running' | 'paused' | 'quarantined' | 'finished';
  /** Index into the stages, from 0. */
  readonly stage: number;
  readonly stageCount: number;
  readonly sharePct: number;
  readonly stageRatings: number;
  readonly minRatings: number;
  /** Candidate answers started so far, over all daemons known to this one. */
  readonly exposedCount: number;
  readonly unjudgedCount: number;
  readonly exposureBudget: number;
  readonly candidateRating?: number;
  readonly stableRating?: number;
  readonly reason: string;
}

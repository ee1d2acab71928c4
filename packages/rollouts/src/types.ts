/** Evidence and roll-outs as the request path sees them. */
import type { VersionId } from '@snipehaven/common';
import type { PriorQuality, QualityEvidence } from '@snipehaven/policy';

/** Which answers a piece of evidence is about. */
export interface EvidenceSubject {
  readonly team: string;
  readonly task: string;
  readonly version: VersionId;
  /** An answer that replaced a cheaper one which was rated too low. */
  readonly isEscalated: boolean;
}

/** How an answer ended. */
export interface AnswerEnding {
  readonly end: 'complete' | 'error' | 'empty' | 'cut';
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** An answer for the rater. */
export interface AnswerSample {
  readonly requestId: string;
  readonly prompt: string;
  readonly answer: string;
}

/** Answers of both versions to the same prompt, to be rated as a pair. */
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

export interface EvidenceBook {
  /** Pooled evidence, this daemon's and its peers'. */
  getEvidence(subject: EvidenceSubject, prior: PriorQuality): QualityEvidence;
  recordEnding(subject: EvidenceSubject, ending: AnswerEnding): void;
  recordScore(subject: EvidenceSubject, score: number): void;
  /** Sends an answer to the rater in the background; its score comes back late or never. */
  submitSample(subject: EvidenceSubject, sample: AnswerSample): void;
  /** Sends both answers of a pair to the rater in the background; counts once both scores are there. */
  submitPair(pair: AnswerPair): void;
  /** Rates in line, for a cascade; throws when the rater does not answer in time. */
  rateNow(subject: EvidenceSubject, sample: AnswerSample, timeoutMs: number): Promise<number>;
  isRaterUp(): boolean;
}

/** Who asks for an assignment. */
export interface AssignmentAudience {
  readonly isStrict: boolean;
  readonly allowsExploration: boolean;
  readonly allowsCascade: boolean;
  readonly isSession: boolean;
  /** Only what may run twice is answered in the shadow too. */
  readonly isIdempotent?: boolean;
  /** Makes a repeated question about the same request get the same answer, charged once. */
  readonly requestId?: string;
  /** Versions that may answer this request; a candidate that is none of them is not assigned. */
  readonly usableVersions?: readonly string[];
}

/** What a model's roll-out decides for one new session or sessionless request. */
export interface ModelAssignment {
  /** The version of the model to use. */
  readonly version: VersionId;
  /** Versions of the model that must not be used instead. */
  readonly hidden: readonly VersionId[];
  readonly isCandidate: boolean;
  /** Rate before release; the stable version answers where the score is too low. */
  readonly isGated: boolean;
  readonly stableVersion: VersionId;
  readonly candidateVersion: VersionId;
  /** The candidate's answer must go to the rater, whatever the share of rated answers is. */
  readonly shouldRate?: boolean;
  /** Asked in the shadow of the stable version's answer; both answers are rated as a pair. */
  readonly shadowVersion?: VersionId;
}

export interface RolloutAssigner {
  /** Undefined: no roll-out of the model is under way. */
  assign(model: string, audience: AssignmentAudience): ModelAssignment | undefined;
  /** Gives back what the request held of the grant and did not use; to be called when it has ended. */
  release?(requestId: string): void;
}

/** How far a roll-out has come, for operators. */
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
  /** Candidate answers started so far, over all daemons that this one heard of. */
  readonly exposedCount: number;
  readonly unjudgedCount: number;
  readonly exposureBudget: number;
  readonly candidateRating?: number;
  readonly stableRating?: number;
  readonly reason: string;
}

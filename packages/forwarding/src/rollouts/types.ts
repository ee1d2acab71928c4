/** What daemons tell each other of a roll-out, through the store. */
import type { SchedulePhase, VersionCounts } from '@snipehaven/policy';
import type { RolloutState } from '../types.js';

/** Between which times an order was given, on the store's steady clock. */
export interface StoredStart {
  readonly afterStoreMs: number;
  readonly beforeStoreMs: number;
}

/** The state of a service's roll-out: what the operator reads, and when it started. */
export interface RolloutStatus extends StoredStart {
  readonly service: string;
  readonly toVersion: string;
  readonly state: RolloutState;
  /** The version that served before the order; absent where that is not known. */
  readonly fromVersion?: string;
  /** The store's version of the order's row, which tells one order from the next. */
  readonly orderVersion: number;
}

/** How far a roll-out has come, or how it ended. */
export type RolloutStage = SchedulePhase | Exclude<RolloutState, 'running'> | 'none';

/** Where a roll-out stands as one daemon believes, and on what that rests. */
export interface RolloutProgress {
  readonly orderVersion: number;
  readonly toVersion: string;
  readonly stage: RolloutStage;
  readonly newShare: number;
  readonly sessionShare: number;
  /** How long ago it was ordered, at least and at most. */
  readonly atLeastMs: number;
  readonly atMostMs: number;
  /** How long ago the store was heard. */
  readonly storeAgeMs: number;
}

/** An upstream runs a request of a session. */
export interface SessionRunReport {
  readonly service: string;
  readonly session: string;
  readonly softwareVersion: string;
  /** The attempt's id. */
  readonly request: string;
}

/** What one daemon saw of both versions; written only once it saw a bad answer of the new one. */
export interface RolloutEvidence {
  readonly service: string;
  readonly vm: string;
  readonly orderVersion: number;
  readonly candidate: VersionCounts;
  readonly present: VersionCounts;
}

/** What is asked of an upstream, as far as the guard compares it. */
export interface RolloutWork {
  readonly service: string;
  readonly softwareVersion: string;
  /** Data centre of the upstream. */
  readonly dataCentre: string;
  /** Kind of work, by which the versions' times are compared. */
  readonly workKind: string;
}

/** What came of an answer so far, from its begin on. */
export interface BodyProgress {
  readonly bytes: number;
  readonly tookMs: number;
}

/** An answer of an upstream, as the guard judges it. */
export interface RolloutAnswer extends RolloutWork {
  readonly isFailed: boolean;
  /** Until the answer's head, or as long as it has been waited for; absent where there was none. */
  readonly headMs?: number;
}

/** Writes to the store; throws `StoreUnavailableError` when the outcome is unknown. */
export interface RolloutWriter {
  /** False when the row had another version. */
  writeStatus(status: RolloutStatus, expectedVersion: number): Promise<boolean>;
  writeEvidence(evidence: RolloutEvidence): Promise<void>;
}

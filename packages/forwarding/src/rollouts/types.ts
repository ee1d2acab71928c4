/** State and evidence of a roll-out that daemons share through the store. */
import type { SchedulePhase, VersionCounts } from '@snipehaven/policy';
import type { StoreRevision } from '../store/index.js';
import type { RolloutState } from '../types.js';

/** Bounds of the time at which an order was given, on the store's monotonic clock. */
export interface StoredStart {
  readonly afterStoreMs: number;
  readonly beforeStoreMs: number;
}

/**
 * Revision of an order's row in the store, which distinguishes successive orders. Rows of an earlier
 * release name no era.
 */
export interface OrderReference {
  readonly version: number;
  readonly era?: number;
}

/** State of a service's roll-out as the operator reads it, and when it started. */
export interface RolloutStatus extends StoredStart {
  readonly service: string;
  readonly toVersion: string;
  readonly state: RolloutState;
  /** The version that served before the order; absent where that is not known. */
  readonly fromVersion?: string;
  readonly orderRevision: OrderReference;
}

/** The version that is brought in, or the one that served before. */
export type VersionRole = 'candidate' | 'present';

/** Phase of a roll-out, or its final state. */
export type RolloutStage = SchedulePhase | Exclude<RolloutState, 'running'> | 'none';

/** Progress of a roll-out as one daemon sees it, and the data that it is based on. */
export interface ObservedRollout {
  readonly orderRevision: StoreRevision;
  readonly toVersion: string;
  readonly stage: RolloutStage;
  readonly newShare: number;
  readonly sessionShare: number;
  /** Lower and upper bound of the time since the order. */
  readonly atLeastMs: number;
  readonly atMostMs: number;
  /** Time since the last contact with the store. */
  readonly storeAgeMs: number;
}

/** A request of a session that runs on an upstream. */
export interface SessionRunReport {
  readonly service: string;
  readonly session: string;
  readonly softwareVersion: string;
  /** Id of the attempt. */
  readonly request: string;
}

/**
 * Answer counts of one daemon for both versions; written only after a bad answer of the new one.
 */
export interface RolloutEvidence {
  readonly service: string;
  readonly vm: string;
  readonly orderRevision: OrderReference;
  readonly candidate: VersionCounts;
  readonly present: VersionCounts;
}

/** A request to an upstream, as far as roll-outs compare it. */
export interface RolloutWork {
  readonly service: string;
  readonly softwareVersion: string;
  /** Data centre of the upstream. */
  readonly dataCentre: string;
  /** Kind of work; response times are compared only within one kind. */
  readonly workKind: string;
}

/** Progress of an answer's body since its beginning. */
export interface BodyProgress {
  readonly bytes: number;
  readonly tookMs: number;
}

/** An answer of an upstream, as roll-outs evaluate it. */
export interface RolloutAnswer extends RolloutWork {
  readonly isFailed: boolean;
  /** Time to the response head, or the wait so far; absent if there was no response. */
  readonly headMs?: number;
}

/** Writes to the store; throws `StoreUnavailableError` when the outcome is unknown. */
export interface RolloutWriter {
  /** Returns false if the row had another revision; version 0 stands for no row. */
  writeStatus(status: RolloutStatus, expected: StoreRevision): Promise<boolean>;
  writeEvidence(evidence: RolloutEvidence): Promise<void>;
}

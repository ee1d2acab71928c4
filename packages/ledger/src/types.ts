/** Usage records: opened at admission, settled once, folded into bills as a set union. */
import type { Logger, Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { ObjectStoreClient, TableClient } from '@snipehaven/platform';
import type {
  OpenUsage,
  PeerTransport,
  UsageEntry,
  UsageLine,
  UsageStream,
} from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import type { EngineClient } from '@snipehaven/upstream';

/** Outcome and usage lines with which a record is settled. */
export interface Settlement {
  readonly outcome: UsageEntry['outcome'];
  readonly lines: readonly UsageLine[];
}

export interface UsageLedger {
  /**
   * Opens a record. Resolves when a peer on another VM holds a replica, or none is alive. Throws
   * `LedgerFullError` at the limit of unflushed records; the request must then be refused as not run.
   */
  open(usage: OpenUsage): Promise<void>;
  /** Adds a run to an open record; resolves as `open` does. */
  addStream(requestId: string, stream: UsageStream): Promise<void>;
  /** Settles a record; resolves when the peer holds the settlement, or none is alive. */
  settle(requestId: string, settlement: Settlement): Promise<void>;
  /** Removes a record whose request is proven not to have run. */
  discard(requestId: string): void;
  /** Number of records not yet durable in the platform. */
  getPendingCount(): number;
  /** Flushes settled records; resolves with the number of records still pending. */
  flush(): Promise<number>;
}

export interface BillingQuery {
  readonly team?: string;
  readonly fromMs?: number;
  readonly untilMs?: number;
}

export interface BillingRow {
  readonly team: string;
  readonly teamUid: string;
  readonly version: string;
  readonly requests: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly costMicroUsd: number;
}

export interface LedgerReader {
  /** Folds the ledger into one row for each team and version. */
  listBilling(query: BillingQuery): Promise<readonly BillingRow[]>;
  /** The folded entries themselves. */
  listEntries(query: BillingQuery): Promise<readonly UsageEntry[]>;
}

/** Limits and intervals of a daemon's ledger. */
export interface LedgerSettings {
  /** Minimum mean time between flushes, however few daemons there are. */
  readonly minFlushIntervalMs: number;
  /** Write rate limit of all daemons together; each one's interval follows from their number. */
  readonly maxTableWritesPerSecond: number;
  /** Maximum flush backoff after consecutive failures, unless the interval is longer. */
  readonly maxFlushRetryMs: number;
  /** Maximum entries per table row; a backlog of that size does not wait for the full interval. */
  readonly maxBatchEntries: number;
  /** Interval between batches while a backlog drains, so that daemons do not flood the table. */
  readonly batchGapMs: number;
  /** Maximum number of open and unflushed records; `open` refuses more. */
  readonly maxPendingRecords: number;
  /** Settled records above this number are spilled to the object store while the table is unavailable. */
  readonly spillThresholdRecords: number;
  readonly maxSpillEntries: number;
  /** Time for which changes are batched before they are sent to the peer. */
  readonly replicateBatchMs: number;
  /** A peer that has not answered by then is skipped. */
  readonly replicateTimeoutMs: number;
  readonly maxMessageRecords: number;
  /** Time for which removals wait to be sent along with another message. */
  readonly forgetDelayMs: number;
  /** Time for which a peer that did not answer is skipped; doubles with each consecutive failure. */
  readonly peerPenaltyMs: number;
  readonly maxPeerPenaltyMs: number;
  /** Interval between checks for dead owners and a better peer. */
  readonly checkIntervalMs: number;
  /** How long an owner must be dead before its records are adopted. */
  readonly adoptAfterMs: number;
  /** Maximum entries written when closing an owner's cursor; the rest go to the adopter's ledger. */
  readonly maxClosingEntries: number;
  readonly platformTimeoutMs: number;
  readonly engineTimeoutMs: number;
  /** Attempts per stream before an engine counts as not answering. */
  readonly engineAttempts: number;
  readonly engineRetryMs: number;
  /** Retention of ended streams at engines; "unknown" proves "not started" only within it. */
  readonly engineRetentionMs: number;
  /** Number of open records of a dead owner processed concurrently. */
  readonly adoptionParallelism: number;
  readonly stopTimeoutMs: number;
}

export interface ReplicatedUsageLedgerOptions {
  /** The incarnation of this process. */
  readonly self: string;
  readonly table: TableClient;
  readonly objectStore: ObjectStoreClient;
  readonly transport: PeerTransport;
  readonly membership: MembershipView;
  readonly engines: Pick<EngineClient, 'getState' | 'cancel'>;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings?: Partial<LedgerSettings>;
}

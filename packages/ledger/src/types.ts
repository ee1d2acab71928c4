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

/** What is known when a record is settled. */
export interface Settlement {
  readonly outcome: UsageEntry['outcome'];
  readonly lines: readonly UsageLine[];
}

export interface UsageLedger {
  /**
   * Opens a record. Resolves when a peer on another VM holds a copy too, or none is alive. Throws
   * `LedgerFullError` when the bound of unflushed records is reached: refuse the request, not run.
   */
  open(usage: OpenUsage): Promise<void>;
  /** Notes a further run of an open record; resolves as `open` does. */
  addStream(requestId: string, stream: UsageStream): Promise<void>;
  /** Settles a record; resolves when the peer holds the settlement too, or none is alive. */
  settle(requestId: string, settlement: Settlement): Promise<void>;
  /** Forgets a record whose request is proven not run. */
  discard(requestId: string): void;
  /** Records not yet lasting in the platform. */
  getPendingCount(): number;
  /** Flushes what is pending; resolves with the count left. */
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

/** Bounds and intervals of a daemon's ledger. */
export interface LedgerSettings {
  /** Least mean time between flushes, however few daemons there are. */
  readonly minFlushIntervalMs: number;
  /** Rows that all daemons together write; each one's interval follows from their count. */
  readonly maxTableWritesPerSecond: number;
  /** Time between flushes after many failures in a row, unless the interval is longer. */
  readonly maxFlushRetryMs: number;
  /** Entries in one row of the table; that many flush at once. */
  readonly maxBatchEntries: number;
  /** Least time between two batches while a backlog drains, so that daemons don't flood the table. */
  readonly batchGapMs: number;
  /** Open and unflushed records together; `open` refuses beyond. */
  readonly maxPendingRecords: number;
  /** Settled records beyond this go to the object store while the table is away. */
  readonly spillThresholdRecords: number;
  readonly maxSpillEntries: number;
  /** How long changes wait for company before they go to the peer. */
  readonly replicateBatchMs: number;
  /** A peer that has not answered by then is passed over. */
  readonly replicateTimeoutMs: number;
  readonly maxMessageRecords: number;
  /** How long the word that records may be forgotten waits for a message to ride along with. */
  readonly forgetDelayMs: number;
  /** How long a peer that did not answer is passed over; doubles with each failure in a row. */
  readonly peerPenaltyMs: number;
  readonly maxPeerPenaltyMs: number;
  /** Time between looks at who is dead and which peer is best. */
  readonly checkIntervalMs: number;
  /** How long an owner must be dead before its records are adopted. */
  readonly adoptAfterMs: number;
  /** Entries written with the closing of an owner's cursor; more go through the adopter's ledger. */
  readonly maxClosingEntries: number;
  readonly platformTimeoutMs: number;
  readonly engineTimeoutMs: number;
  /** How often an engine is asked for one stream before it counts as silent. */
  readonly engineAttempts: number;
  readonly engineRetryMs: number;
  /** How long engines keep an ended stream; only before that does "unknown" prove "not started". */
  readonly engineRetentionMs: number;
  /** Open records of a dead owner that are asked for at the same time. */
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

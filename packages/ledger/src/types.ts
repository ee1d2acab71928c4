/** Usage records: opened at admission, settled once, folded into bills as a set union. */
import type { OpenUsage, UsageEntry, UsageLine, UsageStream } from '@snipehaven/protocol';

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

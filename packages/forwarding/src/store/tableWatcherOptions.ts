/** What a table watcher needs, and whom it tells of the rows. */
import type { Logger, Random } from '@snipehaven/common';
import type { Freshness } from '../configuration/freshness.js';
import type { ReaderRoleOptions } from './readerRole.js';
import type { RetentionPolicy } from './rowRetention.js';
import type { RowStore, SnapshotSource, StoreChange, StoreRow } from './types.js';

export interface TableListener {
  /** `serverTimeMs`: the store's monotonic clock when it answered. */
  onSnapshot(rows: readonly StoreRow[], serverTimeMs: number, era: number): void;
  onChange(change: StoreChange, serverTimeMs: number): void;
  /** Called when the store's state is known again, before its rows are applied. */
  onStoreRecovered?(): void;
}

export interface TableWatcherOptions extends ReaderRoleOptions {
  /** Delay after a change, so that further changes arrive in one answer: each call is billed. */
  readonly batchDelayMs: number;
  readonly store: RowStore;
  readonly listener: TableListener;
  readonly logger: Logger;
  readonly random: Random;
  /** Confirmed by each answer of the store and by reader reports. */
  readonly freshness: Freshness;
  /**
   * A follower whose table has not been confirmed for this long asks the store itself, whatever the
   * readers report; by default it relies on them.
   */
  readonly maxUnconfirmedMs?: number;
  /** What goes before the store's rows when it has come back from a copy; by default nothing. */
  readonly retention?: RetentionPolicy;
  /** Asked once, before the table is first read. */
  readonly source?: SnapshotSource;
}

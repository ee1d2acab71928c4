/** Rows of the platform's store, as the forwarder reads them. */
import type { RetainedRow } from './rowRetention.js';
import type { StoreRevision } from './storeRevision.js';

/** The revision is that of the row's last change, in the era in which the row was read. */
export interface StoreRow extends StoreRevision {
  readonly key: string;
  /** Decoded from the store's encoding: the text that was written, usually JSON. */
  readonly value: string;
}

export interface StoreChange extends StoreRevision {
  readonly key: string;
  /** Absent if the row was removed. */
  readonly value?: string;
}

/** The revision is the newest of the store that the page reflects; era 0 if the store names none. */
export interface StorePage<Item> extends StoreRevision {
  readonly items: readonly Item[];
  /** The store's monotonic clock when it answered. */
  readonly serverTimeMs: number;
}

export interface ConditionalWrite {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  /**
   * The revision that the row must have, with version 0 if the row must not exist; absent for an
   * unconditional write.
   */
  readonly expected?: StoreRevision;
}

export interface WriteResult {
  readonly isWritten: boolean;
  /** Era of the answer; another one than that of the condition was not meant. */
  readonly era: number;
}

/** Called with the era that an answer of the store names, whatever its status. */
export type EraObserver = (era: number) => void;

/**
 * Calls throw `HistoryGoneError` if the store no longer has a feed's history, otherwise
 * `StoreUnavailableError`; after the latter, a write may still take effect.
 */
export interface RowStore {
  readRows(table: string): Promise<StorePage<StoreRow>>;
  /** Resolves when there are changes after the version, or after the wait. */
  readChanges(table: string, after: number, waitMs: number): Promise<StorePage<StoreChange>>;
  write(write: ConditionalWrite): Promise<WriteResult>;
  /** Does nothing if there is no such row. */
  remove(table: string, key: string): Promise<void>;
  close(): void;
}

/**
 * A complete table, as sent to a starting daemon by another one. The rows include all changes up to
 * the revision.
 */
export interface TableSnapshot extends StoreRevision {
  readonly table: string;
  /** Time for which the era has lasted at least; absent if unknown. */
  readonly eraAgeMs?: number;
  /** The store version of the last change of this table, in the same era. */
  readonly lastChange: number;
  /** The store's monotonic clock when it last confirmed this state. */
  readonly serverTimeMs: number;
  /** As the store has them. */
  readonly rows: readonly StoreRow[];
  /**
   * What was known before the store came back from a copy, and goes before these rows; absent if the
   * sender does not know that, or if it is no longer due.
   */
  readonly retained?: readonly RetainedRow[];
}

/** Asks other daemons for a table. */
export interface SnapshotRequest {
  readonly table: string;
  /** The revision of the store up to which the table must include all changes. */
  readonly atLeast: StoreRevision;
  /** Asked before each message, because the changes may have arrived in another way. */
  isNeeded(): boolean;
}

/** Source of tables that other daemons already know. */
export interface SnapshotSource {
  /** Asked at the start. Undefined if no daemon sent the table in time. */
  waitForSnapshot(table: string): Promise<TableSnapshot | undefined>;
  /** The newest table that another daemon has sent, if any. */
  findReceived(table: string): TableSnapshot | undefined;
  /** A table of the newest era whose sender knows what the store lost, maybe older than others. */
  findRetaining(table: string): TableSnapshot | undefined;
  /** Asks a limited number of times, one daemon at a time. */
  requestSnapshot(request: SnapshotRequest): void;
  /** Sends a table that this daemon read to the others. */
  publishSnapshot(snapshot: TableSnapshot): void;
}

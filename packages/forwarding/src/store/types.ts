/** Rows of the platform's store, as the forwarder reads them. */

export interface StoreRow {
  readonly key: string;
  /** Decoded from the store's encoding: the text that was written, usually JSON. */
  readonly value: string;
  readonly version: number;
}

export interface StoreChange {
  readonly key: string;
  /** Absent if the row was removed. */
  readonly value?: string;
  readonly version: number;
}

export interface StorePage<Item> {
  readonly items: readonly Item[];
  /** Rises each time the store comes back from a copy; 0 if it names none. */
  readonly era: number;
  /** The newest version of the store that the page reflects. */
  readonly version: number;
  /** The store's monotonic clock when it answered. */
  readonly serverTimeMs: number;
}

export interface ConditionalWrite {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  /**
   * The version that the row must have; 0 if the row must not exist; absent for an unconditional
   * write.
   */
  readonly expectedVersion?: number;
}

export interface WriteResult {
  readonly isWritten: boolean;
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

/** A complete table at one version of the store, as sent to a starting daemon by another one. */
export interface TableSnapshot {
  readonly table: string;
  /** The rows include all changes up to this version of the store. */
  readonly version: number;
  /** The store version of the last change of this table. */
  readonly lastChange: number;
  /** The store's monotonic clock when it last confirmed this state. */
  readonly serverTimeMs: number;
  readonly rows: readonly StoreRow[];
}

/** Asks other daemons for a table. */
export interface SnapshotRequest {
  readonly table: string;
  /** The store version up to which the table must include all changes. */
  readonly atLeastVersion: number;
  /** Asked before each message, because the changes may have arrived in another way. */
  isNeeded(): boolean;
}

/** Source of tables that other daemons already know. */
export interface SnapshotSource {
  /** Asked at the start. Undefined if no daemon sent the table in time. */
  waitForSnapshot(table: string): Promise<TableSnapshot | undefined>;
  /** The newest table that another daemon has sent, if any. */
  findReceived(table: string): TableSnapshot | undefined;
  /** Asks a limited number of times, one daemon at a time. */
  requestSnapshot(request: SnapshotRequest): void;
  /** Sends a table that this daemon read to the others. */
  publishSnapshot(snapshot: TableSnapshot): void;
}

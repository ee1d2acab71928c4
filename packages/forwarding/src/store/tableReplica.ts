/** This daemon's replica of a table, with the versions up to which it is complete. */
import type { StoreRevision } from './storeRevision.js';
import type { StoreChange, StoreRow, TableSnapshot } from './types.js';

/** The newest version among the items, but at least the given one. */
export const findNewestVersion = (version: number, items: readonly StoreChange[]): number =>
  Math.max(version, ...items.map((item) => item.version));

export class TableReplica {
  readonly #table: string;

  readonly #rows = new Map<string, StoreRow>();

  /** Era of the store's last answer that was applied. */
  #era = 0;

  /** Undefined if the table must be read completely. */
  #version: number | undefined;

  /**
   * Version of the last known change of the table. Versions count changes of all tables in the
   * store, so changes elsewhere raise `#version` but not this.
   */
  #lastChange = 0;

  /**
   * Version at which the table was last read completely; a row may have been removed just before.
   */
  #fullReadVersion = 0;

  #serverTimeMs = 0;

  /** The newest version ever held, also while the table must be read completely. */
  #newestVersion = 0;

  constructor(table: string) {
    this.#table = table;
  }

  get version(): number | undefined {
    return this.#version;
  }

  /** The newest state of the store ever held. */
  get revision(): StoreRevision {
    return { era: this.#era, version: this.#newestVersion };
  }

  get lastChange(): number {
    return this.#lastChange;
  }

  /** The store's monotonic clock when it last confirmed this state of the table. */
  get serverTimeMs(): number {
    return this.#serverTimeMs;
  }

  /** The version from which on this daemon knows all changes. */
  get changesKnownFrom(): number {
    return Math.max(this.#lastChange, this.#fullReadVersion);
  }

  /** Whether this daemon has never known the table. */
  get isNew(): boolean {
    return this.#newestVersion === 0;
  }

  /**
   * Whether the rows are those held here, and no change of the table after the newest version held
   * is known.
   */
  matches(rows: readonly StoreRow[], lastKnownChange: number): boolean {
    return (
      lastKnownChange <= this.#newestVersion &&
      rows.length === this.#rows.size &&
      rows.every(({ key, version }) => this.#rows.get(key)?.version === version)
    );
  }

  /**
   * Whether the snapshot has changes that are missing here. Its last change may be newer than its
   * rows, if its sender heard of the change while it read the table.
   */
  lacks({ version, lastChange }: TableSnapshot): boolean {
    return this.#version === undefined
      ? version > this.#newestVersion
      : Math.min(version, lastChange) > this.#version;
  }

  /** Undefined until the table is first known. */
  get snapshot(): TableSnapshot | undefined {
    if (this.#version === undefined) {
      return undefined;
    }
    return {
      table: this.#table,
      version: this.#version,
      lastChange: this.#lastChange,
      serverTimeMs: this.#serverTimeMs,
      rows: [...this.#rows.values()],
    };
  }

  /** Replaces the replica by a complete table. */
  replace({ rows, version, lastChange, serverTimeMs }: Omit<TableSnapshot, 'table'>): void {
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.key, row));
    this.#version = version;
    this.#newestVersion = version;
    this.#fullReadVersion = version;
    this.#lastChange = lastChange;
    this.#serverTimeMs = serverTimeMs;
  }

  /** Applies all changes up to a version of the store; returns those that were new. */
  apply(changes: readonly StoreChange[], upTo: number): readonly StoreChange[] {
    const known = this.#version ?? 0;
    const newChanges = changes.filter(({ version }) => version > known);
    for (const { key, value, version } of newChanges) {
      if (value === undefined) {
        this.#rows.delete(key);
      } else {
        this.#rows.set(key, { key, value, version });
      }
    }
    this.#version = Math.max(known, upTo);
    this.#newestVersion = this.#version;
    this.#lastChange = findNewestVersion(this.#lastChange, newChanges);
    return newChanges;
  }

  /** Records the era of an answer whose rows are applied. */
  noteEra(era: number): void {
    this.#era = era;
  }

  /** Records that the table was unchanged at that time. */
  confirm(serverTimeMs: number): void {
    this.#serverTimeMs = Math.max(this.#serverTimeMs, serverTimeMs);
  }

  /** Changes may have been missed, so the table must be read completely. */
  invalidate(): void {
    this.#version = undefined;
  }
}

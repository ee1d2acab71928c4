/** This daemon's replica of a table, with the versions up to which it is complete. */
import type { StoreChange, StoreRow, TableSnapshot } from './types.js';

/** The newest version among the items, but at least the given one. */
export const findNewestVersion = (version: number, items: readonly StoreChange[]): number =>
  Math.max(version, ...items.map((item) => item.version));

export class TableReplica {
  readonly #table: string;

  readonly #rows = new Map<string, StoreRow>();

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

  constructor(table: string) {
    this.#table = table;
  }

  get version(): number | undefined {
    return this.#version;
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
    this.#lastChange = findNewestVersion(this.#lastChange, newChanges);
    return newChanges;
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

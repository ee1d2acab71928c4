/** A table as this daemon knows it, with the versions that tell how far its changes are in it. */
import type { StoreChange, StoreRow, TableSnapshot } from './types.js';

/** The newest version among the items, or the one given where none is newer. */
export const findNewest = (version: number, items: readonly StoreChange[]): number =>
  Math.max(version, ...items.map((item) => item.version));

export class TableCopy {
  readonly #table: string;

  readonly #rows = new Map<string, StoreRow>();

  /** Undefined: the table must be read whole. */
  #version: number | undefined;

  /**
   * The last change of the table that is known. Versions are the store's own, of all tables: what
   * changes elsewhere raises `#version`, not this.
   */
  #lastChange = 0;

  /** When the table was last read whole: a row may have been removed just before. */
  #readWholeAt = 0;

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

  /** The store's clock when it last said that the table is so. */
  get serverTimeMs(): number {
    return this.#serverTimeMs;
  }

  /** From which version on this daemon knows all changes. */
  get knownFrom(): number {
    return Math.max(this.#lastChange, this.#readWholeAt);
  }

  /** Undefined before the table was first known. */
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

  /** Takes a whole table in place of what was known. */
  replace({ rows, version, lastChange, serverTimeMs }: Omit<TableSnapshot, 'table'>): void {
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.key, row));
    this.#version = version;
    this.#readWholeAt = version;
    this.#lastChange = lastChange;
    this.#serverTimeMs = serverTimeMs;
  }

  /** Takes all changes up to a version of the store; returns those that were not known. */
  take(changes: readonly StoreChange[], upTo: number): readonly StoreChange[] {
    const known = this.#version ?? 0;
    const news = changes.filter(({ version }) => version > known);
    for (const { key, value, version } of news) {
      if (value === undefined) {
        this.#rows.delete(key);
      } else {
        this.#rows.set(key, { key, value, version });
      }
    }
    this.#version = Math.max(known, upTo);
    this.#lastChange = findNewest(this.#lastChange, news);
    return news;
  }

  /** The table was so at that moment, too. */
  confirm(serverTimeMs: number): void {
    this.#serverTimeMs = Math.max(this.#serverTimeMs, serverTimeMs);
  }

  /** Changes may have been missed: the table must be read whole. */
  forget(): void {
    this.#version = undefined;
  }
}

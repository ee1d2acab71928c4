/** This daemon's replica of a table, with the revisions up to which it is complete. */
import { INITIAL_REVISION, isNewer, type StoreRevision } from './storeRevision.js';
import type { StoreChange, StorePage, StoreRow, TableSnapshot } from './types.js';

/** The newest version among items of one era, but at least the given one. */
export const findNewestVersion = (version: number, items: readonly StoreChange[]): number =>
  Math.max(version, ...items.map((item) => item.version));

export class TableReplica {
  readonly #table: string;

  readonly #rows = new Map<string, StoreRow>();

  /** The newest revision ever held, also while the table must be read completely. */
  #newest = INITIAL_REVISION;

  #mustRead = true;

  /**
   * Version of the last known change of the table. Versions count changes of all tables in the
   * store, so changes elsewhere raise the revision but not this.
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

  /** Undefined if the table must be read completely. */
  get revision(): StoreRevision | undefined {
    return this.#mustRead ? undefined : this.#newest;
  }

  /** The newest revision ever held, also while the table must be read completely. */
  get newestRevision(): StoreRevision {
    return this.#newest;
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
    return this.#newest.version === 0;
  }

  /**
   * Whether the rows are those held here, and no change of the table after the newest revision held
   * is known.
   */
  matches({ era, items }: StorePage<StoreRow>, lastKnownChange: StoreRevision): boolean {
    return (
      era === this.#newest.era &&
      !isNewer(lastKnownChange, this.#newest) &&
      items.length === this.#rows.size &&
      items.every(({ key, version }) => this.#rows.get(key)?.version === version)
    );
  }

  /**
   * Whether the snapshot has changes that are missing here. Its last change may be newer than its
   * rows, if its sender heard of the change while it read the table.
   */
  lacks({ era, version, lastChange }: TableSnapshot): boolean {
    return this.#mustRead || era !== this.#newest.era
      ? isNewer({ era, version }, this.#newest)
      : Math.min(version, lastChange) > this.#newest.version;
  }

  /** Undefined until the table is first known. */
  get snapshot(): TableSnapshot | undefined {
    if (this.#mustRead) {
      return undefined;
    }
    return {
      table: this.#table,
      ...this.#newest,
      lastChange: this.#lastChange,
      serverTimeMs: this.#serverTimeMs,
      rows: [...this.#rows.values()],
    };
  }

  /** Replaces the replica by a complete table. */
  replace(snapshot: Omit<TableSnapshot, 'table'>): void {
    const { rows, era, version, lastChange, serverTimeMs } = snapshot;
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.key, row));
    this.#newest = { era, version };
    this.#mustRead = false;
    this.#fullReadVersion = version;
    this.#lastChange = lastChange;
    this.#serverTimeMs = serverTimeMs;
  }

  /** Applies all changes up to a version of the era that is held; returns those that were new. */
  apply(changes: readonly StoreChange[], upTo: number): readonly StoreChange[] {
    const { era, version: known } = this.#newest;
    const newChanges = changes.filter(({ version }) => version > known);
    for (const { key, value, version } of newChanges) {
      if (value === undefined) {
        this.#rows.delete(key);
      } else {
        this.#rows.set(key, { key, value, era, version });
      }
    }
    this.#newest = { era, version: Math.max(known, upTo) };
    this.#lastChange = findNewestVersion(this.#lastChange, newChanges);
    return newChanges;
  }

  /** Records that the table was unchanged at that time. */
  confirm(serverTimeMs: number): void {
    this.#serverTimeMs = Math.max(this.#serverTimeMs, serverTimeMs);
  }

  /** Changes may have been missed, so the table must be read completely. */
  invalidate(): void {
    this.#mustRead = true;
  }
}

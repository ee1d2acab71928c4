/** This daemon's replica of a table, with the revisions up to which it is complete. */
import {
  MAX_RETENTION_MS,
  NO_RETENTION,
  RowRetention,
  type RetainedRow,
  type RetentionPolicy,
} from './rowRetention.js';
import { StoreEra } from './storeEra.js';
import { INITIAL_REVISION, isNewer, type StoreRevision } from './storeRevision.js';
import type { StoreChange, StorePage, StoreRow, TableSnapshot } from './types.js';

/** The newest version among items of one era, but at least the given one. */
export const findNewestVersion = (version: number, items: readonly StoreChange[]): number =>
  Math.max(version, ...items.map((item) => item.version));

export class TableReplica {
  readonly #table: string;

  readonly #storeEra: StoreEra;

  /** As the store has them. */
  #rows: ReadonlyMap<string, StoreRow> = new Map();

  /** What goes before these rows since the store came back from a copy. */
  readonly #retention: RowRetention;

  /** Whether it is known which rows the store lost when the present era began. */
  #isLossKnown = false;

  /** Snapshots whose retained rows were taken; none is taken twice, as their time goes on. */
  readonly #learnedFrom = new WeakSet<TableSnapshot>();

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

  constructor(
    table: string,
    policy: RetentionPolicy = NO_RETENTION,
    storeEra: StoreEra = new StoreEra(),
  ) {
    this.#table = table;
    this.#storeEra = storeEra;
    this.#retention = new RowRetention(policy, storeEra);
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
    const { toldAge } = this.#storeEra;
    const retained = this.#listRetained();
    return {
      table: this.#table,
      ...this.#newest,
      ...(toldAge?.era === this.#newest.era ? { eraAgeMs: toldAge.ageMs } : {}),
      lastChange: this.#lastChange,
      serverTimeMs: this.#serverTimeMs,
      rows: [...this.#rows.values()],
      ...(retained === undefined ? {} : { retained }),
    };
  }

  /** The rows in force: the store's, but for those that it lost and has not got back yet. */
  get effectiveRows(): readonly StoreRow[] {
    return [...this.#retention.merge(this.#rows).values()];
  }

  /** Whether other daemons may know better than the store what is in force. */
  get mayLackRetained(): boolean {
    return !this.#isLossKnown && this.#storeEra.ageMs < MAX_RETENTION_MS;
  }

  /** When the next retained row gives way to the store's, on the monotonic clock; Infinity if none does. */
  get nextReleaseMs(): number {
    return this.#retention.nextEndMs;
  }

  /** Replaces the replica by a complete table; what is in force is in `effectiveRows`. */
  replace(snapshot: Omit<TableSnapshot, 'table'>): void {
    const { rows, era, version, lastChange, serverTimeMs } = snapshot;
    const held = this.#rows;
    this.#rows = new Map(rows.map((row) => [row.key, row]));
    if (era === this.#newest.era) {
      this.#noteReplaced(held);
    } else {
      this.#isLossKnown = !this.isNew;
      this.#retention.startEra(held, this.#rows, performance.now());
    }
    this.#newest = { era, version };
    this.#mustRead = false;
    this.#fullReadVersion = version;
    this.#lastChange = lastChange;
    this.#serverTimeMs = serverTimeMs;
  }

  /**
   * Applies all changes up to a version of the era that is held; returns those that were new and are
   * in force.
   */
  apply(changes: readonly StoreChange[], upTo: number): readonly StoreChange[] {
    const { era, version: known } = this.#newest;
    const newChanges = changes.filter(({ version }) => version > known);
    const rows = new Map(this.#rows);
    for (const { key, value, version } of newChanges) {
      const before = rows.get(key);
      if (value !== undefined) {
        rows.set(key, { key, value, era, version });
        this.#retention.noteWritten(key);
      } else if (before !== undefined) {
        rows.delete(key);
        this.#retention.noteRemoved(before);
      }
    }
    this.#rows = rows;
    this.#newest = { era, version: Math.max(known, upTo) };
    this.#lastChange = findNewestVersion(this.#lastChange, newChanges);
    return newChanges.filter((change) => this.#retention.admit(change));
  }

  /** Takes what another daemon retains in the same era; returns what changes by it. */
  learn(snapshot: TableSnapshot): readonly StoreChange[] {
    const { era, rows, retained = [] } = snapshot;
    if (this.#mustRead || era !== this.#newest.era || this.#learnedFrom.has(snapshot)) {
      return [];
    }
    this.#learnedFrom.add(snapshot);
    this.#isLossKnown ||= snapshot.retained !== undefined;
    const sentVersions = new Map(rows.map(({ key, version }) => [key, version]));
    // A row that was written or removed after the snapshot is newer than what its sender retains.
    const unchanged = retained.filter(
      ({ key }) => sentVersions.get(key) === this.#rows.get(key)?.version,
    );
    const keys = this.#retention.learn(unchanged, this.#rows, performance.now());
    return keys.map((key) => this.#toChange(key));
  }

  /** Gives way to the store where retentions have ended; returns what changes by it. */
  release(): readonly StoreChange[] {
    const keys = this.#retention.release(performance.now());
    return keys.map((key) => this.#toChange(key));
  }

  /** Undefined if this daemon does not know what the store lost, or if that is no longer due. */
  #listRetained(): readonly RetainedRow[] | undefined {
    const isDue = this.#isLossKnown && this.#storeEra.ageMs < MAX_RETENTION_MS;
    return isDue || !this.#retention.isEmpty ? this.#retention.list(performance.now()) : undefined;
  }

  #toChange(key: string): StoreChange {
    return this.#retention.find(key, this.#rows.get(key)) ?? { key, ...this.#newest };
  }

  /** Rows that another read of the same era shows as written or removed are no longer retained. */
  #noteReplaced(held: ReadonlyMap<string, StoreRow>): void {
    for (const row of held.values()) {
      if (!this.#rows.has(row.key)) {
        this.#retention.noteRemoved(row);
        this.#retention.admit({ key: row.key, ...this.#newest });
      }
    }
    for (const row of this.#rows.values()) {
      if (held.get(row.key)?.version !== row.version) {
        this.#retention.noteWritten(row.key);
        this.#retention.admit(row);
      }
    }
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

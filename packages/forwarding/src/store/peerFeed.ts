/**
 * Brings the replica of a table up to date by what other daemons send: relayed changes, whole
 * tables, and the reports of readers that confirm them.
 */
import { MAX_MESH_DAEMONS } from '../peers/index.js';
import { isNewer, type StoreRevision } from './storeRevision.js';
import type { ReaderRole } from './readerRole.js';
import type { TableReplica } from './tableReplica.js';
import type { TableWatcherOptions } from './tableWatcherOptions.js';
import type { TableSnapshot } from './types.js';

/**
 * How long to wait for relayed changes, which arrive with a reader's report or right after it. In a
 * large fleet another daemon relays them, which may be busy starting. The waits are at most a tenth
 * of the time within which changes must be in force.
 */
const RELAY_WAIT_MS = 120;
const LARGE_FLEET_RELAY_WAIT_MS = 400;

/** Changes that are missing for less than this are usually on their way. */
const MIN_BEHIND_MS = 1_000;
const BEHIND_LOG_INTERVAL_MS = 5_000;

export class PeerFeed {
  readonly #options: TableWatcherOptions;

  readonly #replica: TableReplica;

  readonly #readerRole: ReaderRole;

  /** Since when reports have named a change that is missing here. */
  #behindSinceMs: number | undefined;

  #behindLoggedAtMs = -Infinity;

  /** Era of the last request for what other daemons retain. */
  #askedEra: number | undefined;

  readonly #beforeRows: () => void;

  readonly #afterRestore: () => void;

  /**
   * `beforeRows` is called before rows of others are applied, `afterRestore` when rows may be
   * retained.
   */
  constructor(
    options: TableWatcherOptions,
    replica: TableReplica,
    readerRole: ReaderRole,
    beforeRows: () => void,
    afterRestore: () => void,
  ) {
    this.#options = options;
    this.#replica = replica;
    this.#readerRole = readerRole;
    this.#beforeRows = beforeRows;
    this.#afterRestore = afterRestore;
  }

  /** Applies relayed changes, and a received table if it has a change that they do not bring. */
  apply(): void {
    this.#applyChanges();
    const { source, table } = this.#options;
    const snapshot = source?.findReceived(table);
    if (snapshot !== undefined && this.#replica.lacks(snapshot)) {
      this.applySnapshot(snapshot);
      this.#applyChanges();
    }
    const retaining = source?.findRetaining(table);
    if (retaining !== undefined) {
      this.#learnRetained(retaining);
    }
  }

  applySnapshot(snapshot: TableSnapshot): void {
    const { listener, freshness, logger, storeEra } = this.#options;
    const { rows, era, version, serverTimeMs, table } = snapshot;
    const held = this.#replica.newestRevision;
    storeEra.observe(era, 'table of another daemon', snapshot.eraAgeMs);
    this.#beforeRows();
    this.#replica.replace(snapshot);
    this.#replica.learn(snapshot);
    listener.onSnapshot(this.#replica.effectiveRows, serverTimeMs, era);
    this.#afterRestore();
    const isConfirmed = freshness.confirmByPeer(serverTimeMs);
    logger.info(
      {
        event: 'tableTaken',
        table,
        era,
        version,
        held,
        rows: rows.length,
        serverTimeMs,
        isConfirmed,
      },
      'table received from another daemon',
    );
  }

  /**
   * Returns false if a change that is not applied here is known, or if the readers' reports cannot
   * confirm this daemon's state.
   */
  confirm(): boolean {
    if (this.isBehind) {
      return false;
    }
    this.#behindSinceMs = undefined;
    const { latestReport } = this.#readerRole;
    if (latestReport === undefined) {
      return true;
    }
    this.#replica.confirm(latestReport.serverTimeMs);
    return this.#options.freshness.confirmByPeer(latestReport.serverTimeMs);
  }

  /** Whether the store or readers are known to be at a state that is not applied here. */
  get isBehind(): boolean {
    const { latestReport } = this.#readerRole;
    const { revision } = this.#replica;
    if (revision === undefined) {
      return latestReport !== undefined;
    }
    return (
      revision.era < this.#options.storeEra.newest ||
      (latestReport !== undefined && isNewer(latestReport.lastChange, revision))
    );
  }

  /** Waits a limited time for relayed changes up to the readers' version. */
  async awaitChanges(): Promise<void> {
    const { readerRegistry, table } = this.#options;
    const isSmallFleet = this.#options.countDaemons() <= MAX_MESH_DAEMONS;
    const startedAtMs = performance.now();
    const getLeftMs = (): number => {
      // Changes missing before later ones were probably lost; the store is asked for them sooner.
      const hasGap = readerRegistry.hasGap(table, this.#replica.newestRevision);
      const waitMs = isSmallFleet || hasGap ? RELAY_WAIT_MS : LARGE_FLEET_RELAY_WAIT_MS;
      return startedAtMs + waitMs - performance.now();
    };
    while (getLeftMs() > 0 && !this.confirm()) {
      await readerRegistry.waitForUpdate(getLeftMs());
      this.apply();
    }
  }

  /** Applies what others send while `act` is pending. */
  async applyDuring<Result>(act: () => Promise<Result>): Promise<Result> {
    const { readerRegistry, table } = this.#options;
    const stopListening = readerRegistry.onUpdate(table, () => {
      this.apply();
      if (!this.confirm()) {
        this.requestTable();
      }
    });
    try {
      return await act();
    } finally {
      stopListening();
    }
  }

  /** Asks other daemons for the table if this one stays behind; the store may be faster. */
  requestTable(): void {
    if (!this.isBehind) {
      return;
    }
    const { latestReport } = this.#readerRole;
    const atLeast = latestReport?.lastChange ?? this.#eraBeginning;
    this.#noteBehind(atLeast);
    this.#requestTable(atLeast);
  }

  /** Asks other daemons, once an era, what they know that the store lost before this one started. */
  requestRetained(): void {
    const { retention, storeEra } = this.#options;
    const isAsked = this.#askedEra === storeEra.newest;
    if (retention !== undefined && !isAsked && this.#replica.mayLackRetained) {
      this.#askedEra = storeEra.newest;
      this.#requestTable(this.#eraBeginning);
    }
  }

  get #eraBeginning(): StoreRevision {
    return { era: this.#options.storeEra.newest, version: 0 };
  }

  #requestTable(atLeast: StoreRevision): void {
    const { source, table, retention } = this.#options;
    const mayLackRetained = (): boolean => retention !== undefined && this.#replica.mayLackRetained;
    const isNeeded = (): boolean => this.isBehind || mayLackRetained();
    source?.requestSnapshot({ table, atLeast, isNeeded });
  }

  #applyChanges(): void {
    const { readerRegistry, table, listener } = this.#options;
    for (;;) {
      const { revision } = this.#replica;
      const changes =
        revision === undefined ? undefined : readerRegistry.findChanges(table, revision);
      if (changes === undefined) {
        return;
      }
      this.#beforeRows();
      const newChanges = this.#replica.apply(changes.items, changes.upTo);
      newChanges.forEach((item) => listener.onChange(item, changes.serverTimeMs));
    }
  }

  #learnRetained(snapshot: TableSnapshot): void {
    const changes = this.#replica.learn(snapshot);
    if (changes.length > 0) {
      this.#options.logger.info(
        { event: 'rowsRetained', table: snapshot.table, keys: changes.map(({ key }) => key) },
        'other daemons know better than the store, which has come back from a copy',
      );
      changes.forEach((change) => this.#options.listener.onChange(change, snapshot.serverTimeMs));
      this.#afterRestore();
    }
  }

  #noteBehind(reported: StoreRevision): void {
    const { table, logger, freshness } = this.#options;
    const nowMs = performance.now();
    this.#behindSinceMs ??= nowMs;
    const behindMs = Math.round(nowMs - this.#behindSinceMs);
    if (behindMs >= MIN_BEHIND_MS && nowMs - this.#behindLoggedAtMs >= BEHIND_LOG_INTERVAL_MS) {
      this.#behindLoggedAtMs = nowMs;
      const held = this.#replica.newestRevision;
      const ageMs = Math.round(freshness.ageMs);
      logger.warn(
        { event: 'tableBehind', table, held, reported, behindMs, ageMs },
        'readers know of changes that neither the store nor other daemons have brought',
      );
    }
  }
}

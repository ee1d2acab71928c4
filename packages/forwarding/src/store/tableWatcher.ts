/**
 * Follows one table: loads it from another daemon or the store, then applies its changes. A few
 * daemons read the store and the others follow their reports; if there are no readers, daemons take
 * over one after another. A feed may go silent without a reset, and the store may drop its history.
 * Therefore each call has its own time-out, and after a failure the table is read again or the feed
 * is resumed on a new connection.
 */
import { getErrorMessage, sleep } from '@snipehaven/common';
import { readClocks, type ClockReading } from '../configuration/storeClock.js';
import { HistoryGoneError, StoreUnavailableError } from '../errors.js';
import { PeerFeed } from './peerFeed.js';
import { ReaderRole } from './readerRole.js';
import { TableReplica, findNewestVersion } from './tableReplica.js';
import { isNewer, type StoreRevision } from './storeRevision.js';
import type { TableWatcherOptions } from './tableWatcherOptions.js';
import type { StoreChange, StorePage, StoreRow, TableSnapshot } from './types.js';

/** A follower checks at least this often whether readers still report. */
const REPORT_WAIT_MS = 400;

/**
 * Backoff of store requests. It bounds how much longer an outage lasts for this daemon once the store
 * is reachable again.
 */
const FIRST_BACKOFF_MS = 120;
const MAX_BACKOFF_MS = 400;

/**
 * Backoff of daemons late in the reader order, which grows with the square of their rank: the first
 * daemons retry at the usual rate, and the others hear of the store's recovery from them. When each
 * of 195 daemons retried at the rate of the first, a store that was down received 1,400 requests a
 * second.
 */
const MAX_RANKED_BACKOFF_MS = 20_000;

export class TableWatcher {
  readonly #options: TableWatcherOptions;

  readonly #replica: TableReplica;

  readonly #readerRole: ReaderRole;

  readonly #peerFeed: PeerFeed;

  #failures = 0;

  /** Whether readers were lost after there had been some. */
  #hasLostReaders = false;

  /** Whether the other daemons were asked for the table. */
  #hasRequestedSnapshot = false;

  /**
   * Whether the reports of others have been sufficient since this daemon last read the store itself
   * or lost the readers.
   */
  #hasFollowedReaders = false;

  #isStopped = false;

  /** Until the next retained row gives way to the store's. */
  #releaseTimer: NodeJS.Timeout | undefined;

  constructor(options: TableWatcherOptions) {
    this.#options = options;
    this.#replica = new TableReplica(options.table, options.retention, options.storeEra);
    this.#readerRole = new ReaderRole(options);
    this.#peerFeed = new PeerFeed(
      options,
      this.#replica,
      this.#readerRole,
      () => this.#noteRowsOfOthers(),
      () => this.#scheduleRelease(),
    );
    options.storeEra.onEarlierBeginning(() => {
      this.#scheduleRelease();
      this.#peerFeed.requestRetained();
    });
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#step();
    }
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#releaseTimer);
  }

  get table(): string {
    return this.#options.table;
  }

  /** The state of the store at which the table is known. */
  get revision(): StoreRevision {
    return this.#replica.newestRevision;
  }

  /** The table as known here; undefined until it is first known. */
  get snapshot(): TableSnapshot | undefined {
    return this.#replica.snapshot;
  }

  async #step(): Promise<void> {
    try {
      await this.#poll(readClocks());
    } catch (error) {
      await this.#recover(error);
    }
  }

  async #poll(requested: ClockReading): Promise<void> {
    if (this.#replica.revision === undefined) {
      await this.#load(requested);
      return;
    }
    if (this.#readerRole.checkEnoughReaders()) {
      await this.#follow(requested);
      return;
    }
    this.#noteReadersLost();
    if (!this.#readerRole.isOwnTurn()) {
      await this.#awaitTurn(requested);
      return;
    }
    // When taking over, a held request would leave all followers without a report for its whole
    // wait.
    const waitMs = this.#readerRole.isReading
      ? this.#readerRole.getRequestWaitMs(this.#replica.serverTimeMs)
      : 0;
    if (await this.#readUpdate(requested, waitMs)) {
      this.#publish();
    }
  }

  /**
   * Requests the table from other daemons the first time, and afterwards from the store, but again
   * from others if the store does not answer.
   */
  async #load(requested: ClockReading): Promise<void> {
    if (this.#hasRequestedSnapshot) {
      this.#peerFeed.requestTable();
      await this.#readAll(requested);
      return;
    }
    this.#hasRequestedSnapshot = true;
    const { source, table } = this.#options;
    const snapshot = await source?.waitForSnapshot(table);
    if (snapshot !== undefined) {
      this.#peerFeed.applySnapshot(snapshot);
    }
  }

  /** Follows the current readers in the meantime. */
  async #awaitTurn(requested: ClockReading): Promise<void> {
    if (this.#readerRole.latestReport === undefined && this.#overdueInMs > 0) {
      // Changes from a new reader can arrive before its report.
      this.#peerFeed.apply();
      await this.#awaitUpdate(this.#readerRole.turnCheckInMs);
    } else {
      await this.#follow(requested, this.#readerRole.turnCheckInMs);
    }
  }

  /**
   * Time until this daemon asks the store unless the table is confirmed. The connections of all
   * readers may be silent, which they notice only at the time-out of their requests.
   */
  get #overdueInMs(): number {
    const { maxUnconfirmedMs = Infinity, freshness, getReaderRank } = this.#options;
    if (maxUnconfirmedMs === Infinity) {
      return Infinity;
    }
    const leftMs = maxUnconfirmedMs - freshness.ageMs;
    const isSettling = leftMs <= 0 && getReaderRank() === undefined;
    return Math.max(leftMs, isSettling ? REPORT_WAIT_MS : this.#readerRole.backsOffForMs);
  }

  async #awaitUpdate(waitMs: number): Promise<void> {
    await this.#options.readerRegistry.waitForUpdate(Math.min(waitMs, this.#overdueInMs));
  }

  /**
   * A follower knows the store's state only through readers. Without them its table may be older
   * than it seems.
   */
  #noteReadersLost(): void {
    const { table, logger } = this.#options;
    if (this.#hasFollowedReaders && this.#readerRole.latestReport === undefined) {
      this.#hasFollowedReaders = false;
      this.#hasLostReaders = true;
      logger.warn({ event: 'readersLost', table }, 'no reader of the table is reachable');
    }
  }

  /**
   * Follows the readers' reports. Asks the store for changes that were not relayed, or if the
   * confirmation is overdue, and other daemons if it does not answer.
   */
  async #follow(requested: ClockReading, waitMs = REPORT_WAIT_MS): Promise<void> {
    this.#peerFeed.apply();
    const isConfirmed = this.#isConfirmedByReports();
    const isOverdue = this.#overdueInMs <= 0;
    if (isConfirmed && !isOverdue) {
      await this.#awaitUpdate(waitMs);
      return;
    }
    if (!isOverdue) {
      await this.#peerFeed.awaitChanges();
    }
    if (isOverdue || !this.#isConfirmedByReports()) {
      this.#peerFeed.requestTable();
      await this.#readUpdate(requested, 0);
    }
  }

  /** A report that names changes unknown here does not show that the store can be reached. */
  #isConfirmedByReports(): boolean {
    const isConfirmed = this.#peerFeed.confirm();
    if (isConfirmed && this.#readerRole.latestReport !== undefined) {
      this.#hasFollowedReaders = true;
      this.#noteStoreRecovered('readers');
    }
    return isConfirmed;
  }

  #confirm(requested: ClockReading, serverTimeMs: number): void {
    this.#options.freshness.confirm({ asked: requested, serverTimeMs });
  }

  #publish(): void {
    const { readerRegistry, table } = this.#options;
    const { newestRevision, lastChange, serverTimeMs } = this.#replica;
    const { era } = newestRevision;
    readerRegistry.publishReport({ table, era, lastChange, serverTimeMs });
  }

  /**
   * Reads what changed, or the whole table if the store has come back from a copy since. Returns
   * false if the answer is of no use here.
   */
  async #readUpdate(requested: ClockReading, waitMs: number): Promise<boolean> {
    if (this.revision.era >= this.#options.storeEra.newest) {
      return this.#readChanges(requested, waitMs);
    }
    await this.#readAll(requested);
    return true;
  }

  async #readAll(requested: ClockReading): Promise<void> {
    const { store, table, storeEra, logger } = this.#options;
    const page = await this.#peerFeed.applyDuring(() => store.readRows(table));
    const { items, era, version, serverTimeMs } = page;
    if (era < storeEra.newest) {
      throw new StoreUnavailableError(`answer of era ${era} after era ${storeEra.newest}`);
    }
    this.#noteAnswer();
    logger.info(
      { event: 'tableRead', table, era, version, rows: items.length, held: this.revision },
      'table read from the store',
    );
    // A newer table may have come from another daemon in the meantime.
    const isUseful = this.#replica.revision === undefined || !isNewer(this.revision, page);
    if (isUseful) {
      this.#replaceReplica(page);
    }
    this.#confirm(requested, serverTimeMs);
  }

  #replaceReplica(page: StorePage<StoreRow>): void {
    const { items: rows, era, version, serverTimeMs } = page;
    const { listener } = this.#options;
    const isCovered = this.#readerRole.checkEnoughReaders();
    const lastChange = this.#findLastChange(page, isCovered);
    this.#replica.replace({ rows, era, version, serverTimeMs, lastChange });
    listener.onSnapshot(this.#replica.effectiveRows, serverTimeMs, era);
    this.#scheduleRelease();
    if (!isCovered && lastChange === version) {
      this.#publishTable();
    }
  }

  /** Gives way to the store's rows when the time is over in which they are written again. */
  #scheduleRelease(): void {
    clearTimeout(this.#releaseTimer);
    const { nextReleaseMs } = this.#replica;
    if (nextReleaseMs === Infinity) {
      return;
    }
    this.#releaseTimer = setTimeout(() => {
      const { listener, logger, table, storeEra } = this.#options;
      const changes = this.#replica.release();
      const keys = changes.map(({ key }) => key);
      const lateMs = Math.round(storeEra.lateMs);
      logger.info(
        { event: 'rowsReleased', table, keys, lateMs },
        'rows that were not written again after the store came back from a copy give way to it',
      );
      changes.forEach((change) => listener.onChange(change, this.#replica.serverTimeMs));
      this.#scheduleRelease();
    }, nextReleaseMs - performance.now()).unref();
  }

  /**
   * A complete table does not show when its last row was removed. Existing readers know, unless the
   * store dropped its history: then it may have been at any moment until now, as it may without
   * readers.
   */
  #findLastChange(page: StorePage<StoreRow>, isCovered: boolean): number {
    const { era, version, items } = page;
    const { latestReport } = this.#readerRole;
    if (latestReport?.lastChange.era !== era) {
      return version;
    }
    const { lastChange } = latestReport;
    const isKnownToReaders =
      isCovered || this.#replica.isNew || this.#replica.matches(page, lastChange);
    const ownLastChange = this.revision.era === era ? this.#replica.lastChange : 0;
    return isKnownToReaders
      ? findNewestVersion(Math.max(lastChange.version, ownLastChange), items)
      : version;
  }

  /** No relayed changes lead to this table, so the others would have to read it themselves. */
  #publishTable(): void {
    const { snapshot } = this.#replica;
    if (snapshot !== undefined && this.#readerRole.isOwnTurn()) {
      this.#publish();
      this.#options.source?.publishSnapshot(snapshot);
    }
  }

  /** Returns false if the answer does not continue what is held here. */
  async #readChanges(requested: ClockReading, waitMs: number): Promise<boolean> {
    const { table, batchDelayMs: gatherMs, listener, readerRegistry } = this.#options;
    // Starts at the last change instead of the version of the request, because a follower's version
    // may be that of the last change.
    const after = this.#replica.changesKnownFrom;
    const asked = this.revision;
    const { items, era, version: upTo, serverTimeMs } = await this.#requestChanges(waitMs);
    if (era < asked.era) {
      throw new StoreUnavailableError(`answer of era ${era} after era ${asked.era}`);
    }
    this.#noteAnswer();
    if (era !== asked.era || era !== this.revision.era) {
      return false;
    }
    const newChanges = this.#replica.apply(items, upTo);
    this.#replica.confirm(serverTimeMs);
    this.#confirm(requested, serverTimeMs);
    newChanges.forEach((change) => listener.onChange(change, serverTimeMs));
    if (items.length > 0) {
      this.#publish();
      readerRegistry.publishChanges({ table, era, after, upTo, serverTimeMs, items });
      await sleep(gatherMs);
    }
    return true;
  }

  /** Applies other readers' changes and confirmations while the store request is pending. */
  #requestChanges(waitMs: number): Promise<StorePage<StoreChange>> {
    const { store, table } = this.#options;
    return this.#peerFeed.applyDuring(() =>
      store.readChanges(table, this.revision.version, waitMs),
    );
  }

  #noteAnswer(): void {
    this.#readerRole.noteStoreAnswer();
    this.#hasFollowedReaders = false;
    this.#noteStoreRecovered('store');
  }

  get #isStoreLost(): boolean {
    return this.#failures > 0 || this.#hasLostReaders;
  }

  /**
   * What a reader read while this daemon could not is the store's state after the outage, also
   * before reports confirm that it is complete.
   */
  #noteRowsOfOthers(): void {
    if (this.#isStoreLost) {
      this.#options.listener.onStoreRecovered?.();
    }
  }

  /** The store's state is known again, through its own answer or through readers. */
  #noteStoreRecovered(source: 'store' | 'readers'): void {
    if (this.#isStoreLost) {
      const { logger, table, listener } = this.#options;
      logger.info(
        { event: 'storeRegained', table, source, failures: this.#failures },
        'store reachable again',
      );
      this.#failures = 0;
      this.#hasLostReaders = false;
      listener.onStoreRecovered?.();
    }
  }

  async #recover(error: unknown): Promise<void> {
    const { logger, table, readerRegistry } = this.#options;
    readerRegistry.withdraw(table);
    if (error instanceof HistoryGoneError) {
      logger.info(
        { event: 'historyGone', table },
        'feed history dropped by the store; reading the table again',
      );
      this.#replica.invalidate();
      this.#failures += 1;
      return;
    }
    if (this.#failures === 0) {
      logger.warn(
        { event: 'storeLost', table, cause: getErrorMessage(error) },
        'store request failed; backing off',
      );
    }
    this.#failures += 1;
    this.#readerRole.noteStoreLost();
    await this.#peerFeed.applyDuring(() => this.#backOff());
    this.#peerFeed.apply();
    if (!this.#peerFeed.confirm()) {
      this.#peerFeed.requestTable();
    }
  }

  /** Waits before the next store request, or until other daemons read the table. */
  async #backOff(): Promise<void> {
    const { random, readerRegistry } = this.#options;
    const baseMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** Math.min(6, this.#failures - 1),
    );
    const rank = this.#replica.revision === undefined ? 0 : (this.#options.getReaderRank() ?? 0);
    const rankedMs = Math.min(MAX_RANKED_BACKOFF_MS, baseMs * (1 + rank) ** 2);
    const waitMs = rankedMs * (0.5 + random.next());
    if (rank === 0) {
      await sleep(waitMs);
      return;
    }
    const endAtMs = performance.now() + waitMs;
    const hasEnded = (): boolean =>
      performance.now() >= endAtMs || this.#readerRole.canRelyOnReaders;
    while (!hasEnded()) {
      await readerRegistry.waitForUpdate(endAtMs - performance.now());
    }
  }
}

/**
 * Follows one table: takes it whole from another daemon or reads it, then its changes. A few daemons
 * read, the others follow what these tell; where none does, they take the reading over one after
 * another. A feed may go silent without a reset, and its history may be dropped; each call has a
 * time-out of its own, and after any failure the table is read again or the feed is resumed on a new
 * connection.
 */
import { getErrorMessage, sleep, type Logger, type Random } from '@snipehaven/common';
import type { Freshness } from '../configuration/freshness.js';
import { readClocks, type ClockReading } from '../configuration/storeClock.js';
import { HistoryGoneError } from '../errors.js';
import { MAX_MESH_DAEMONS } from '../peers/index.js';
import { ReaderCover, type CoverOptions } from './readerCover.js';
import { TableCopy, findNewest } from './tableCopy.js';
import type {
  RowStore,
  SnapshotSource,
  StoreChange,
  StorePage,
  StoreRow,
  TableSnapshot,
} from './types.js';

export interface TableListener {
  /** `serverTimeMs`: the store's steady clock as it answered. */
  onAll(rows: readonly StoreRow[], serverTimeMs: number): void;
  onChange(change: StoreChange, serverTimeMs: number): void;
  /** The store answers again after it was lost, before its rows are taken. */
  onBack?(): void;
}

export interface WatchOptions extends CoverOptions {
  /** After a change, further ones are left to gather this long: each answer is a call that counts. */
  readonly gatherMs: number;
  readonly store: RowStore;
  readonly listener: TableListener;
  readonly logger: Logger;
  readonly random: Random;
  /** Confirmed by each answer, and by readers' news. */
  readonly freshness: Freshness;
  /** Asked once, before the table is first read. */
  readonly source?: SnapshotSource;
}

/**
 * What a reader passes on comes with its news or right after; in a large fleet by way of another
 * daemon, which may be busy starting. It is missed for at most a tenth of the time in which changes
 * must be in force there.
 */
const PASS_ON_MS = 120;
const PASS_ON_LARGE_MS = 400;

/** A follower checks at least this often whether readers still report. */
const NEWS_WAIT_MS = 400;

/** A daemon late in the order looks again at least this often. */
const MAX_TURN_WAIT_MS = 200;

/** Until the store is asked again: a cut that heals should not cost more than this beside the cut. */
const FIRST_BACKOFF_MS = 120;
const MAX_BACKOFF_MS = 400;

/**
 * Late in the order daemons ask a lost store more seldom, by the square of their rank: the first ask as
 * before and the others hear of its return from them. With each of 195 at the pace of the first, a
 * store that was down got 1,400 questions a second.
 */
const MAX_RANKED_BACKOFF_MS = 20_000;

export class TableWatcher {
  readonly #options: WatchOptions;

  readonly #copy: TableCopy;

  readonly #cover: ReaderCover;

  #failures = 0;

  /** No reader is heard that has the store's word, after some were. */
  #isBlind = false;

  /** Whether others were asked for the table. */
  #hasBegun = false;

  /** Others' news were enough, since this daemon last read itself or lost them. */
  #hasFollowed = false;

  #isStopped = false;

  constructor(options: WatchOptions) {
    this.#options = options;
    this.#copy = new TableCopy(options.table);
    this.#cover = new ReaderCover(options);
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#step();
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** The table as it is known here; undefined before it was first known. */
  get snapshot(): TableSnapshot | undefined {
    return this.#copy.snapshot;
  }

  async #step(): Promise<void> {
    try {
      await this.#ask(readClocks());
    } catch (error) {
      await this.#recover(error);
    }
  }

  async #ask(asked: ClockReading): Promise<void> {
    if (this.#copy.version === undefined) {
      await this.#begin(asked);
      return;
    }
    if (this.#cover.checkCovered()) {
      await this.#follow(asked);
      return;
    }
    this.#noteReadersLost();
    if (!this.#cover.isOwnTurn()) {
      await this.#awaitTurn(asked);
      return;
    }
    // Taking over, a held question would leave all that follow without a word for as long again.
    const waitMs = this.#cover.isReading ? this.#options.getWaitMs() : 0;
    this.#note(asked, await this.#readChanges(waitMs));
    this.#publish();
  }

  /** The first time others are asked, later the store itself. */
  async #begin(asked: ClockReading): Promise<void> {
    if (this.#hasBegun) {
      this.#note(asked, await this.#readAll());
      return;
    }
    this.#hasBegun = true;
    const { source, table } = this.#options;
    const snapshot = await source?.waitForSnapshot(table);
    if (snapshot !== undefined) {
      this.#takeSnapshot(snapshot);
    }
  }

  #takeSnapshot(snapshot: TableSnapshot): void {
    const { listener, freshness, logger } = this.#options;
    const { rows, version, serverTimeMs, table } = snapshot;
    this.#copy.replace(snapshot);
    listener.onAll(rows, serverTimeMs);
    const isConfirmed = freshness.confirmByPeer(serverTimeMs);
    logger.info(
      { event: 'tableTaken', table, version, rows: rows.length, serverTimeMs, isConfirmed },
      'table taken from another daemon',
    );
  }

  /** Follows whoever reads meanwhile. */
  async #awaitTurn(asked: ClockReading): Promise<void> {
    if (this.#cover.best === undefined) {
      // Changes from a new reader can arrive before its news.
      this.#takePassedOn();
      await this.#options.readerRegistry.waitForUpdate(MAX_TURN_WAIT_MS);
    } else {
      await this.#follow(asked, MAX_TURN_WAIT_MS);
    }
  }

  /**
   * Others' word is how a follower knows of the store: without it, its list may be older than it
   * thinks.
   */
  #noteReadersLost(): void {
    const { table, logger } = this.#options;
    if (this.#hasFollowed && this.#cover.best === undefined) {
      this.#hasFollowed = false;
      this.#isBlind = true;
      logger.warn({ event: 'readersLost', table }, 'no reader has the store’s word');
    }
  }

  /** Takes readers' news: asks the store only for what they did not pass on. */
  async #follow(asked: ClockReading, waitMs = NEWS_WAIT_MS): Promise<void> {
    this.#hasFollowed = true;
    this.#noteBack('readers');
    this.#takePassedOn();
    if (this.#useNews()) {
      await this.#options.readerRegistry.waitForUpdate(waitMs);
      return;
    }
    await this.#awaitPassedOn();
    if (!this.#useNews()) {
      this.#note(asked, await this.#readChanges(0));
    }
  }

  /** Waits until what readers know of was passed on, for a while. */
  async #awaitPassedOn(): Promise<void> {
    const { readerRegistry, table } = this.#options;
    const isSmallFleet = this.#options.countDaemons() <= MAX_MESH_DAEMONS;
    const startedAtMs = performance.now();
    const getLeftMs = (): number => {
      // Changes missing before later ones were probably lost; the store is asked for them sooner.
      const hasGap = readerRegistry.hasGap(table, this.#copy.version ?? 0);
      const waitMs = isSmallFleet || hasGap ? PASS_ON_MS : PASS_ON_LARGE_MS;
      return startedAtMs + waitMs - performance.now();
    };
    while (getLeftMs() > 0 && !this.#useNews()) {
      await readerRegistry.waitForUpdate(getLeftMs());
      this.#takePassedOn();
    }
  }

  #takePassedOn(): void {
    const { readerRegistry, table, listener } = this.#options;
    for (;;) {
      const version = this.#copy.version ?? 0;
      const changes = readerRegistry.findChanges(table, version);
      if (changes === undefined) {
        return;
      }
      const news = this.#copy.take(changes.items, changes.upTo);
      news.forEach((item) => listener.onChange(item, changes.serverTimeMs));
    }
  }

  /** False when readers know of a change that is not taken here, or their news confirm nothing here. */
  #useNews(): boolean {
    const { best } = this.#cover;
    if (best === undefined) {
      return true;
    }
    if (best.lastChange > (this.#copy.version ?? 0)) {
      return false;
    }
    this.#copy.confirm(best.serverTimeMs);
    return this.#options.freshness.confirmByPeer(best.serverTimeMs);
  }

  #note(asked: ClockReading, serverTimeMs: number): void {
    this.#options.freshness.confirm({ asked, serverTimeMs });
  }

  #publish(): void {
    const { readerRegistry, table } = this.#options;
    const { lastChange, serverTimeMs } = this.#copy;
    readerRegistry.publishReport({ table, lastChange, serverTimeMs });
  }

  /** Resolves with the store's clock as it answered. */
  async #readAll(): Promise<number> {
    const { store, table, listener } = this.#options;
    const page = await store.readRows(table);
    this.#noteAnswer();
    const { items: rows, version, serverTimeMs } = page;
    this.#copy.replace({ rows, version, serverTimeMs, lastChange: this.#findLastChange(page) });
    listener.onAll(rows, serverTimeMs);
    return serverTimeMs;
  }

  /**
   * What a whole table does not tell: when its last row was removed. Readers that were there before
   * know; with none of them, any moment until now. Said too late, all followers ask the store once for
   * nothing.
   */
  #findLastChange({ items, version }: StorePage<StoreRow>): number {
    const { best } = this.#cover;
    return best === undefined ? version : findNewest(best.lastChange, items);
  }

  async #readChanges(waitMs: number): Promise<number> {
    const { table, gatherMs, listener, readerRegistry } = this.#options;
    // From the change before on, not from the question: a follower's version stands at that change.
    const after = this.#copy.knownFrom;
    const { items, version: upTo, serverTimeMs } = await this.#askForChanges(waitMs);
    this.#noteAnswer();
    const news = this.#copy.take(items, upTo);
    this.#copy.confirm(serverTimeMs);
    news.forEach((change) => listener.onChange(change, serverTimeMs));
    if (items.length > 0) {
      this.#publish();
      readerRegistry.publishChanges({ table, after, upTo, serverTimeMs, items });
      await sleep(gatherMs);
    }
    return serverTimeMs;
  }

  /** Applies other readers' changes and confirmations while the store request is pending. */
  async #askForChanges(waitMs: number): Promise<StorePage<StoreChange>> {
    const { store, table, readerRegistry } = this.#options;
    const stopListening = readerRegistry.onUpdate(table, () => {
      this.#takePassedOn();
      this.#useNews();
    });
    try {
      return await store.readChanges(table, this.#copy.version ?? 0, waitMs);
    } finally {
      stopListening();
    }
  }

  #noteAnswer(): void {
    this.#cover.noteAnswer();
    this.#hasFollowed = false;
    this.#noteBack('store');
  }

  /** The store's word comes again, by itself or by readers. */
  #noteBack(source: 'store' | 'readers'): void {
    if (this.#failures > 0 || this.#isBlind) {
      const { logger, table, listener } = this.#options;
      logger.info(
        { event: 'storeRegained', table, source, failures: this.#failures },
        'store answers again',
      );
      this.#failures = 0;
      this.#isBlind = false;
      listener.onBack?.();
    }
  }

  async #recover(error: unknown): Promise<void> {
    const { logger, table, readerRegistry } = this.#options;
    readerRegistry.withdraw(table);
    if (error instanceof HistoryGoneError) {
      logger.info({ event: 'historyGone', table }, 'feed history gone; reading the table again');
      this.#copy.forget();
      this.#failures += 1;
      return;
    }
    if (this.#failures === 0) {
      logger.warn({ event: 'storeLost', table, cause: getErrorMessage(error) }, 'store lost');
    }
    this.#failures += 1;
    this.#cover.noteLost();
    await this.#backOff();
    if (this.#copy.version !== undefined) {
      this.#takePassedOn();
      this.#useNews();
    }
  }

  /** Waits before the store is asked again, or until others have its word. */
  async #backOff(): Promise<void> {
    const { random, readerRegistry } = this.#options;
    const ownMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(6, this.#failures - 1));
    const rank = this.#copy.version === undefined ? 0 : (this.#options.getReaderRank() ?? 0);
    const rankedMs = Math.min(MAX_RANKED_BACKOFF_MS, ownMs * (1 + rank) ** 2);
    const waitMs = rankedMs * (0.5 + random.next());
    if (rank === 0) {
      await sleep(waitMs);
      return;
    }
    const endAtMs = performance.now() + waitMs;
    const isOver = (): boolean => performance.now() >= endAtMs || this.#cover.canLean;
    while (!isOver()) {
      await readerRegistry.waitForUpdate(endAtMs - performance.now());
    }
  }
}

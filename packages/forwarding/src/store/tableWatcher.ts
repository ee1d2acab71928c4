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
import { SMALL_FLEET, type NewsBoard, type NewsQuery } from '../peers/index.js';
import type { RowStore, StoreChange, StorePage, StoreRow, TableSnapshot } from './types.js';

export interface TableListener {
  /** `serverTimeMs`: the store's steady clock as it answered. */
  onAll(rows: readonly StoreRow[], serverTimeMs: number): void;
  onChange(change: StoreChange, serverTimeMs: number): void;
  /** The store answers again after it was lost, before its rows are taken. */
  onBack?(): void;
}

/** Daemons that may know the table already. */
export interface SnapshotSource {
  /** Undefined when none told it in time. */
  waitForSnapshot(table: string): Promise<TableSnapshot | undefined>;
}

export interface WatchOptions {
  readonly table: string;
  /** How long the store may hold a question; asked anew for each. */
  readonly getWaitMs: () => number;
  /** After a change, further ones are left to gather this long: each answer is a call that counts. */
  readonly gatherMs: number;
  readonly store: RowStore;
  readonly listener: TableListener;
  readonly logger: Logger;
  readonly random: Random;
  /** Confirmed by each answer, and by readers' news. */
  readonly freshness: Freshness;
  /** What other daemons read of the table. */
  readonly board: NewsBoard;
  countDaemons(): number;
  /** Asked once, before the table is first read. */
  readonly source?: SnapshotSource;
  /**
   * How many daemons come before this one to read, as far as known; 0: none; undefined: it must not.
   */
  getReaderRank(): number | undefined;
}

/** Beyond a reader's wait: the time-out of its question, and of datagrams between data centres. */
const NEWS_AGE_MARGIN_MS = 900;

/**
 * What a reader passes on comes with its news or right after; in a large fleet by way of another
 * daemon, which may be busy starting. It is missed for at most a tenth of the time in which changes
 * must be in force there.
 */
const PASS_ON_MS = 120;
const PASS_ON_LARGE_MS = 400;

/** Readers tell what they know at least this often. */
const NEWS_WAIT_MS = 700;

/**
 * While too few read, each daemon waits this long for each that comes before it: news of a new reader
 * are known in the region after two ticks in each of two data centres. With all taking over at once,
 * 195 daemons ask.
 */
const TURN_MS = 400;

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

/** A reader that lost the store asks it again after this, while others read. */
const LEAN_MS = 2_000;

/** The newest version among the items, or the one given where none is newer. */
const findNewest = (version: number, items: readonly StoreChange[]): number =>
  Math.max(version, ...items.map((item) => item.version));

export class TableWatcher {
  readonly #options: WatchOptions;

  /** Undefined: the table must be read whole. */
  #version: number | undefined;

  /**
   * The last change of the table that is known, and the store's clock at its last answer. Versions are
   * the store's own, of all tables: what changes elsewhere raises `#version`, not this.
   */
  #lastChange = 0;

  /** When the table was last read whole: a row may have been removed just before. */
  #readWholeAt = 0;

  #serverTimeMs = 0;

  #failures = 0;

  /** Until then a daemon that lost the store leaves the reading to others, if there are any. */
  #leansUntilMs = 0;

  /** Since when too few others read; undefined while enough do, or this daemon reads. */
  #uncoveredSinceMs: number | undefined;

  /** The wait that readers' questions may have had until now, and when the last such one ends. */
  #longWaitMs = 0;

  #longWaitEndsAtMs = 0;

  /** No reader is heard that has the store's word, after some were. */
  #isBlind = false;

  /** Whether others were asked for the table. */
  #hasBegun = false;

  /** Others' news were enough, since this daemon last read itself or lost them. */
  #hasFollowed = false;

  readonly #rows = new Map<string, StoreRow>();

  #isStopped = false;

  constructor(options: WatchOptions) {
    this.#options = options;
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
    if (this.#version === undefined) {
      return undefined;
    }
    return {
      table: this.#options.table,
      version: this.#version,
      lastChange: this.#lastChange,
      serverTimeMs: this.#serverTimeMs,
      rows: [...this.#rows.values()],
    };
  }

  async #step(): Promise<void> {
    try {
      await this.#ask(readClocks());
    } catch (error) {
      await this.#recover(error);
    }
  }

  async #ask(asked: ClockReading): Promise<void> {
    const version = this.#version;
    if (version === undefined) {
      await this.#begin(asked);
      return;
    }
    if (this.#isCovered()) {
      this.#uncoveredSinceMs = undefined;
      await this.#follow(asked, version);
      return;
    }
    this.#noteReadersLost();
    if (!this.#isOwnTurn()) {
      await this.#awaitTurn(asked, version);
      return;
    }
    // Taking over, a held question would leave all that follow without a word for as long again.
    const waitMs = this.#isReading ? this.#options.getWaitMs() : 0;
    this.#note(asked, await this.#readChanges(version, waitMs));
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

  #takeSnapshot({ rows, version, lastChange, serverTimeMs, table }: TableSnapshot): void {
    const { listener, freshness, logger } = this.#options;
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.key, row));
    listener.onAll(rows, serverTimeMs);
    this.#version = version;
    this.#readWholeAt = version;
    this.#lastChange = lastChange;
    this.#serverTimeMs = serverTimeMs;
    const isConfirmed = freshness.confirmByPeer(serverTimeMs);
    logger.info(
      { event: 'tableTaken', table, version, rows: rows.length, serverTimeMs, isConfirmed },
      'table taken from another daemon',
    );
  }

  /** Whether those that come before had their time to take the reading over. */
  #isOwnTurn(): boolean {
    const nowMs = performance.now();
    const rank = this.#options.getReaderRank();
    if (rank === undefined) {
      this.#uncoveredSinceMs = nowMs;
      return false;
    }
    this.#uncoveredSinceMs ??= nowMs;
    return nowMs - this.#uncoveredSinceMs >= TURN_MS * rank;
  }

  /** Follows whoever reads meanwhile. */
  async #awaitTurn(asked: ClockReading, version: number): Promise<void> {
    if (this.#isAnyReaderHeard()) {
      await this.#follow(asked, version);
    } else {
      await this.#options.board.waitForNews(MAX_TURN_WAIT_MS);
    }
  }

  /**
   * Others' word is how a follower knows of the store: without it, its list may be older than it
   * thinks.
   */
  #noteReadersLost(): void {
    const { table, logger } = this.#options;
    if (this.#hasFollowed && !this.#isAnyReaderHeard()) {
      this.#hasFollowed = false;
      this.#isBlind = true;
      logger.warn({ event: 'readersLost', table }, 'no reader has the store’s word');
    }
  }

  #isAnyReaderHeard(): boolean {
    const { board, table } = this.#options;
    return board.getBest(table, this.#getNewsQuery()) !== undefined;
  }

  /** Whether this daemon told others of the table last time. */
  get #isReading(): boolean {
    const { board, table } = this.#options;
    return board.own.some((news) => news.table === table);
  }

  #isCovered(): boolean {
    const { board, table, countDaemons } = this.#options;
    const query = this.#getNewsQuery();
    const isCovered =
      performance.now() < this.#leansUntilMs
        ? board.canLean(table, countDaemons(), query)
        : board.isCovered(table, countDaemons(), query);
    if (isCovered) {
      board.withdraw(table);
    }
    return isCovered;
  }

  /**
   * A reader whose feed went silent says nothing new; its question is given up a little after its wait.
   * Where the wait has just become shorter, readers may still be at the longer one.
   */
  #getNewsQuery(): NewsQuery {
    const nowMs = performance.now();
    const waitMs = this.#options.getWaitMs();
    if (waitMs >= this.#longWaitMs || nowMs > this.#longWaitEndsAtMs) {
      this.#longWaitMs = waitMs;
      this.#longWaitEndsAtMs = nowMs + waitMs;
    }
    return { nowMs, maxAgeMs: this.#longWaitMs + NEWS_AGE_MARGIN_MS };
  }

  /** Takes readers' news: asks the store only for what they did not pass on. */
  async #follow(asked: ClockReading, version: number): Promise<void> {
    this.#hasFollowed = true;
    this.#noteBack('readers');
    this.#takePassedOn();
    if (this.#useNews(this.#version ?? version)) {
      await this.#options.board.waitForNews(NEWS_WAIT_MS);
      return;
    }
    await this.#awaitPassedOn(this.#version ?? version);
    if (!this.#useNews(this.#version ?? version)) {
      this.#note(asked, await this.#readChanges(this.#version ?? version, 0));
    }
  }

  /** Waits until what readers know of was passed on, for a while. */
  async #awaitPassedOn(version: number): Promise<void> {
    const { board, countDaemons } = this.#options;
    const waitMs = countDaemons() <= SMALL_FLEET ? PASS_ON_MS : PASS_ON_LARGE_MS;
    const endAtMs = performance.now() + waitMs;
    let leftMs = waitMs;
    while (leftMs > 0 && !this.#useNews(this.#version ?? version)) {
      await board.waitForNews(leftMs);
      this.#takePassedOn();
      leftMs = endAtMs - performance.now();
    }
  }

  #takePassedOn(): void {
    const { board, table } = this.#options;
    for (;;) {
      const version = this.#version ?? 0;
      const changes = board.findChanges(table, version);
      if (changes === undefined) {
        return;
      }
      const news = changes.items.filter((item) => item.version > version);
      news.forEach((item) => this.#takeChange(item, changes.serverTimeMs));
      this.#version = changes.upTo;
      this.#lastChange = findNewest(this.#lastChange, news);
    }
  }

  /** False when readers know of a change that is not taken here, or their news confirm nothing here. */
  #useNews(version: number): boolean {
    const { board, table, freshness } = this.#options;
    const best = board.getBest(table, this.#getNewsQuery());
    if (best !== undefined && best.lastChange > version) {
      return false;
    }
    if (best === undefined) {
      return true;
    }
    this.#serverTimeMs = Math.max(this.#serverTimeMs, best.serverTimeMs);
    return freshness.confirmByPeer(best.serverTimeMs);
  }

  #note(asked: ClockReading, serverTimeMs: number): void {
    this.#options.freshness.confirm({ asked, serverTimeMs });
  }

  #publish(): void {
    const { board, table } = this.#options;
    board.publish({ table, lastChange: this.#lastChange, serverTimeMs: this.#serverTimeMs });
  }

  /** Resolves with the store's clock as it answered. */
  async #readAll(): Promise<number> {
    const { store, table, listener } = this.#options;
    const page = await store.readRows(table);
    this.#noteAnswer();
    this.#rows.clear();
    page.items.forEach((row) => this.#rows.set(row.key, row));
    listener.onAll(page.items, page.serverTimeMs);
    this.#version = page.version;
    this.#readWholeAt = page.version;
    this.#lastChange = this.#findLastChange(page);
    this.#serverTimeMs = page.serverTimeMs;
    return page.serverTimeMs;
  }

  /**
   * What a whole table does not tell: when its last row was removed. Readers that were there before
   * know; with none of them, any moment until now. Said too late, all followers ask the store once for
   * nothing.
   */
  #findLastChange({ items, version }: StorePage<StoreRow>): number {
    const { board, table } = this.#options;
    const best = board.getBest(table, this.#getNewsQuery());
    return best === undefined ? version : findNewest(best.lastChange, items);
  }

  async #readChanges(after: number, waitMs: number): Promise<number> {
    const { store, table, gatherMs, board } = this.#options;
    const page = await store.readChanges(table, after, waitMs);
    this.#noteAnswer();
    page.items.forEach((change) => this.#takeChange(change, page.serverTimeMs));
    this.#version = page.version;
    const lastBefore = this.#lastChange;
    this.#lastChange = findNewest(lastBefore, page.items);
    this.#serverTimeMs = page.serverTimeMs;
    if (page.items.length > 0) {
      this.#publish();
      const { items, version: upTo, serverTimeMs } = page;
      // From the change before on, not from the question: a follower's version stands at that change.
      const from = Math.max(lastBefore, this.#readWholeAt);
      board.publishChanges({ table, after: from, upTo, serverTimeMs, items });
      await sleep(gatherMs);
    }
    return page.serverTimeMs;
  }

  #takeChange(change: StoreChange, serverTimeMs: number): void {
    const { key, value, version } = change;
    if (value === undefined) {
      this.#rows.delete(key);
    } else {
      this.#rows.set(key, { key, value, version });
    }
    this.#options.listener.onChange(change, serverTimeMs);
  }

  #noteAnswer(): void {
    this.#leansUntilMs = 0;
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
    const { logger, table, board } = this.#options;
    board.withdraw(table);
    if (error instanceof HistoryGoneError) {
      logger.info({ event: 'historyGone', table }, 'feed history gone; reading the table again');
      this.#version = undefined;
      this.#failures += 1;
      return;
    }
    if (this.#failures === 0) {
      logger.warn({ event: 'storeLost', table, cause: getErrorMessage(error) }, 'store lost');
    }
    this.#failures += 1;
    this.#leansUntilMs = performance.now() + LEAN_MS;
    await this.#backOff();
    if (this.#version !== undefined) {
      this.#useNews(this.#version);
    }
  }

  /** Waits before the store is asked again, or until others have its word. */
  async #backOff(): Promise<void> {
    const { random, board, table, countDaemons } = this.#options;
    const ownMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(6, this.#failures - 1));
    const rank = this.#version === undefined ? 0 : (this.#options.getReaderRank() ?? 0);
    const rankedMs = Math.min(MAX_RANKED_BACKOFF_MS, ownMs * (1 + rank) ** 2);
    const waitMs = rankedMs * (0.5 + random.next());
    if (rank === 0) {
      await sleep(waitMs);
      return;
    }
    const endAtMs = performance.now() + waitMs;
    const isOver = (): boolean =>
      performance.now() >= endAtMs || board.canLean(table, countDaemons(), this.#getNewsQuery());
    while (!isOver()) {
      await board.waitForNews(endAtMs - performance.now());
    }
  }
}

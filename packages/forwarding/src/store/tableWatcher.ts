/**
 * Follows one table: reads it whole, then its changes. A feed may go silent without a reset, and its
 * history may be dropped; each call has a time-out of its own, and after any failure the table is
 * read again or the feed is resumed on a new connection.
 */
import { getErrorMessage, sleep, type Logger, type Random } from '@snipehaven/common';
import { readClocks, type ClockReading, type Freshness } from '../configuration/freshness.js';
import { HistoryGoneError } from '../errors.js';
import type { NewsBoard, NewsQuery } from '../peers/index.js';
import type { RowStore, StoreChange, StorePage, StoreRow } from './types.js';

export interface TableListener {
  /** `serverTimeMs`: the store's steady clock as it answered. */
  onAll(rows: readonly StoreRow[], serverTimeMs: number): void;
  onChange(change: StoreChange, serverTimeMs: number): void;
  /** The store answers again after it was lost, before its rows are taken. */
  onBack?(): void;
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
}

/** Beyond a reader's wait: the time-out of its question, and of datagrams between data centres. */
const NEWS_AGE_MARGIN_MS = 900;

/** What a reader passes on comes with its news or right after. */
const PASS_ON_MS = 120;

/** Readers tell what they know at least this often. */
const NEWS_WAIT_MS = 700;

/** Until the store is asked again: a cut that heals should not cost more than this beside the cut. */
const FIRST_BACKOFF_MS = 120;
const MAX_BACKOFF_MS = 400;

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
   * The last change of the table that is known, and the store's clock at its last answer. Versions are the
   * store's own, of all tables: what changes elsewhere raises `#version`, not this.
   */
  #lastChange = 0;

  /** When the table was last read whole: a row may have been removed just before. */
  #readWholeAt = 0;

  #serverTimeMs = 0;

  #failures = 0;

  /** Until then a daemon that lost the store leaves the reading to others, if there are any. */
  #leansUntilMs = 0;

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
      this.#note(asked, await this.#readAll());
      return;
    }
    if (this.#isCovered()) {
      await this.#follow(asked, version);
      return;
    }
    this.#note(asked, await this.#readChanges(version, this.#options.getWaitMs()));
    this.#publish();
  }

  #isCovered(): boolean {
    const { board, table, countDaemons } = this.#options;
    const query = this.#getNewsQuery();
    const isCovered =
      performance.now() < this.#leansUntilMs
        ? board.canLean(table, query)
        : board.isCovered(table, countDaemons(), query);
    if (isCovered) {
      board.withdraw(table);
    }
    return isCovered;
  }

  /**
   * A reader whose feed went silent says nothing new; its question is given up a little after its wait.
   */
  #getNewsQuery(): NewsQuery {
    return { nowMs: performance.now(), maxAgeMs: this.#options.getWaitMs() + NEWS_AGE_MARGIN_MS };
  }

  /** Takes readers' news: asks the store only for what they did not pass on. */
  async #follow(asked: ClockReading, version: number): Promise<void> {
    this.#noteBack('readers');
    this.#takePassedOn();
    if (this.#useNews(this.#version ?? version)) {
      await this.#options.board.waitForNews(NEWS_WAIT_MS);
      return;
    }
    await this.#options.board.waitForNews(PASS_ON_MS);
    this.#takePassedOn();
    if (!this.#useNews(this.#version ?? version)) {
      this.#note(asked, await this.#readChanges(this.#version ?? version, 0));
    }
  }

  #takePassedOn(): void {
    const { board, table, listener } = this.#options;
    for (;;) {
      const version = this.#version ?? 0;
      const changes = board.findChanges(table, version);
      if (changes === undefined) {
        return;
      }
      const news = changes.items.filter((item) => item.version > version);
      news.forEach((item) => listener.onChange(item, changes.serverTimeMs));
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
    return best === undefined || freshness.confirmByPeer(best.serverTimeMs);
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
    listener.onAll(page.items, page.serverTimeMs);
    this.#version = page.version;
    this.#readWholeAt = page.version;
    this.#lastChange = this.#findLastChange(page);
    this.#serverTimeMs = page.serverTimeMs;
    return page.serverTimeMs;
  }

  /**
   * What a whole table does not tell: when its last row was removed. Readers that were there before know;
   * with none of them, any moment until now. Said too late, all followers ask the store once for nothing.
   */
  #findLastChange({ items, version }: StorePage<StoreRow>): number {
    const { board, table } = this.#options;
    const best = board.getBest(table, this.#getNewsQuery());
    return best === undefined ? version : findNewest(best.lastChange, items);
  }

  async #readChanges(after: number, waitMs: number): Promise<number> {
    const { store, table, gatherMs, listener, board } = this.#options;
    const page = await store.readChanges(table, after, waitMs);
    this.#noteAnswer();
    page.items.forEach((change) => listener.onChange(change, page.serverTimeMs));
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

  #noteAnswer(): void {
    this.#leansUntilMs = 0;
    this.#noteBack('store');
  }

  /** The store's word comes again, by itself or by readers. */
  #noteBack(source: 'store' | 'readers'): void {
    if (this.#failures > 0) {
      const { logger, table, listener } = this.#options;
      logger.info(
        { event: 'storeRegained', table, source, failures: this.#failures },
        'store answers again',
      );
      this.#failures = 0;
      listener.onBack?.();
    }
  }

  async #recover(error: unknown): Promise<void> {
    const { logger, table, random, board } = this.#options;
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
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** Math.min(6, this.#failures - 1),
    );
    await sleep(backoffMs * (0.5 + random.next()));
    if (this.#version !== undefined) {
      this.#useNews(this.#version);
    }
  }
}

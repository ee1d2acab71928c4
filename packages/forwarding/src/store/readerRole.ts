/** Whether others read a table for this daemon, and when it is its turn to read. */
import type { LatestReport, ReaderRegistry, ReportQuery } from '../peers/index.js';

export interface CoverOptions {
  readonly table: string;
  /** What other daemons read of the table. */
  readonly readerRegistry: ReaderRegistry;
  /** How long the store may hold a question; asked anew for each. */
  readonly getWaitMs: () => number;
  countDaemons(): number;
  /**
   * Number of known daemons that precede this one in the reading order, excluding lost readers;
   * undefined if this daemon must not read.
   */
  getReaderRank(lostReaders?: ReadonlySet<string>): number | undefined;
}

/** Beyond a reader's wait: the time-out of its question, and of datagrams between data centres. */
const NEWS_AGE_MARGIN_MS = 900;

/**
 * While too few read, each daemon waits this long for each that comes before it: news of a new reader
 * are known in the region after two ticks in each of two data centres. With all taking over at once,
 * 195 daemons ask.
 */
const TURN_MS = 400;

/** A reader that lost the store asks it again after this, while others read. */
const LEAN_MS = 2_000;

export class ReaderCover {
  readonly #options: CoverOptions;

  /** Until then a daemon that lost the store leaves the reading to others, if there are any. */
  #leansUntilMs = 0;

  /** Since when too few others read; undefined while enough do. */
  #uncoveredSinceMs: number | undefined;

  /** The wait that readers' questions may have had until now, and when the last such one ends. */
  #longWaitMs = 0;

  #longWaitEndsAtMs = 0;

  constructor(options: CoverOptions) {
    this.#options = options;
  }

  /** What readers say; undefined while none is heard that has the store's word. */
  get best(): LatestReport | undefined {
    const { readerRegistry, table } = this.#options;
    return readerRegistry.getLatestReport(table, this.#getNewsQuery());
  }

  /** Whether others read, be they too few, so that a daemon that lost the store need not ask. */
  get canLean(): boolean {
    const { readerRegistry, table } = this.#options;
    return readerRegistry.canRelyOnReaders(
      table,
      this.#options.countDaemons(),
      this.#getNewsQuery(),
    );
  }

  /** Whether this daemon told others of the table last time. */
  get isReading(): boolean {
    const { readerRegistry, table } = this.#options;
    return readerRegistry.ownReports.some((news) => news.table === table);
  }

  /** The store turned this daemon away, or did not answer. */
  noteLost(): void {
    this.#leansUntilMs = performance.now() + LEAN_MS;
  }

  noteAnswer(): void {
    this.#leansUntilMs = 0;
  }

  /** Whether enough others read; if so, this daemon says no more that it does. */
  checkCovered(): boolean {
    const { readerRegistry, table } = this.#options;
    const isCovered =
      performance.now() < this.#leansUntilMs
        ? this.canLean
        : readerRegistry.hasEnoughReaders(
            table,
            this.#options.countDaemons(),
            this.#getNewsQuery(),
          );
    if (isCovered) {
      readerRegistry.withdraw(table);
      this.#uncoveredSinceMs = undefined;
    }
    return isCovered;
  }

  /** Whether those that come before had their time to take the reading over. */
  isOwnTurn(): boolean {
    const nowMs = performance.now();
    const { readerRegistry, table, getReaderRank } = this.#options;
    const rank = getReaderRank(readerRegistry.listLostReaders(table, nowMs));
    if (rank === undefined) {
      this.#uncoveredSinceMs = nowMs;
      return false;
    }
    this.#uncoveredSinceMs ??= nowMs;
    return nowMs - this.#uncoveredSinceMs >= TURN_MS * rank;
  }

  /**
   * A reader whose feed went silent says nothing new; its question is given up a little after its wait.
   * Where the wait has just become shorter, readers may still be at the longer one.
   */
  #getNewsQuery(): ReportQuery {
    const nowMs = performance.now();
    const waitMs = this.#options.getWaitMs();
    if (waitMs >= this.#longWaitMs || nowMs > this.#longWaitEndsAtMs) {
      this.#longWaitMs = waitMs;
      this.#longWaitEndsAtMs = nowMs + waitMs;
    }
    return { nowMs, maxAgeMs: this.#longWaitMs + NEWS_AGE_MARGIN_MS };
  }
}

/** Decides whether this daemon reads a table itself or relies on other readers. */
import type { Logger } from '@snipehaven/common';
import type { StoreEra } from './storeEra.js';
import type { LatestReport, ReaderRegistry, ReportQuery } from '../peers/index.js';

export interface ReaderRoleOptions {
  readonly table: string;
  readonly logger: Logger;
  /** Reports of the other daemons on the table. */
  readonly readerRegistry: ReaderRegistry;
  /** Raised by the store's answers and by messages of other daemons. */
  readonly storeEra: StoreEra;
  /** How long the store may hold a request; read anew for each. */
  readonly getWaitMs: () => number;
  /**
   * Whether the readers' requests end at even intervals, so that the table is confirmed more often
   * than each reader's wait.
   */
  readonly isStaggered?: boolean;
  countDaemons(): number;
  /**
   * Number of known daemons that precede this one in the reader order, excluding lost readers;
   * undefined if this daemon must not read.
   */
  getReaderRank(lostReaders?: ReadonlySet<string>): number | undefined;
}

/**
 * Added to a reader's wait: allows for the time-out of its request and for datagrams between data
 * centres.
 */
const REPORT_AGE_MARGIN_MS = 900;

/**
 * While there are too few readers, each daemon waits this long for each daemon that precedes it: a
 * new reader is known in the region after two ticks in each of two data centres. If all took over
 * at once, 195 daemons would ask the store.
 */
const TAKEOVER_INTERVAL_MS = 400;

/**
 * The same while the readers are silent: changes must not wait, and the first daemons to read are
 * heard by many of the others before their turn.
 */
const SILENCE_TAKEOVER_INTERVAL_MS = 5;

/** Maximum wait of a daemon whose turn to read has not come yet. */
const MAX_TAKEOVER_WAIT_MS = 200;

/** A staggered request is not shorter than this, as each is billed. */
const MIN_STAGGERED_WAIT_MS = 100;

/** A reader that lost the store asks it again after this time while others read. */
const STORE_LOSS_BACKOFF_MS = 2_000;

export class ReaderRole {
  readonly #options: ReaderRoleOptions;

  /** Until this time, a daemon that lost the store relies on other readers if there are any. */
  #backsOffUntilMs = 0;

  /** Since when the readers have been silent; undefined while they are not. */
  #silentSinceMs: number | undefined;

  /** When this daemon reads although readers are only silent; Infinity while they are not. */
  #silenceTurnAtMs = Infinity;

  /** Since when there have been too few other readers; undefined while there are enough. */
  #tooFewReadersSinceMs: number | undefined;

  /**
   * The longest wait that pending requests of readers may still have, and the time when the last of
   * them ends.
   */
  #maxWaitMs = 0;

  #maxWaitEndsAtMs = 0;

  constructor(options: ReaderRoleOptions) {
    this.#options = options;
  }

  /** The newest values over all readers; undefined if no reader has reached the store recently. */
  get latestReport(): LatestReport | undefined {
    const { readerRegistry, table } = this.#options;
    return readerRegistry.getLatestReport(table, this.#getReportQuery());
  }

  /**
   * Whether there are other readers, even if too few, so that a daemon that lost the store need not
   * ask it.
   */
  get canRelyOnReaders(): boolean {
    const { readerRegistry, table } = this.#options;
    return readerRegistry.canRelyOnReaders(
      table,
      this.#options.countDaemons(),
      this.#getReportQuery(),
    );
  }

  /** Whether this daemon currently reports on the table as a reader. */
  get isReading(): boolean {
    const { readerRegistry, table } = this.#options;
    return readerRegistry.ownReports.some((news) => news.table === table);
  }

  /**
   * How long the store may hold this reader's next request. Staggered requests end in the reader's
   * own slot of the wait, by the store's clock, which all readers share.
   */
  getRequestWaitMs(storeTimeMs: number): number {
    const { readerRegistry, table, getWaitMs, isStaggered = false } = this.#options;
    const waitMs = getWaitMs();
    if (!isStaggered) {
      return waitMs;
    }
    const { index, count } = readerRegistry.getReaderPlace(table, this.#getReportQuery());
    const slotMs = (waitMs * index) / count;
    const sinceSlotMs = (((storeTimeMs - slotMs) % waitMs) + waitMs) % waitMs;
    const leftMs = Math.ceil(waitMs - sinceSlotMs);
    return leftMs < MIN_STAGGERED_WAIT_MS ? leftMs + waitMs : leftMs;
  }

  /** The store rejected this daemon or did not answer. */
  noteStoreLost(): void {
    this.#backsOffUntilMs = performance.now() + STORE_LOSS_BACKOFF_MS;
  }

  /** Time until this daemon asks the store again although it lost it; at most 0 if it did not. */
  get backsOffForMs(): number {
    return this.#backsOffUntilMs - performance.now();
  }

  noteStoreAnswer(): void {
    this.#backsOffUntilMs = 0;
  }

  /** Whether enough other daemons read the table; if so, this daemon withdraws its own report. */
  checkEnoughReaders(): boolean {
    if (this.#areReadersSilent(performance.now())) {
      return false;
    }
    const { readerRegistry, table } = this.#options;
    const isCovered =
      performance.now() < this.#backsOffUntilMs
        ? this.canRelyOnReaders
        : readerRegistry.hasEnoughReaders(
            table,
            this.#options.countDaemons(),
            this.#getReportQuery(),
          );
    if (isCovered) {
      readerRegistry.withdraw(table);
      this.#tooFewReadersSinceMs = undefined;
    }
    return isCovered;
  }

  /**
   * Whether the daemons that precede this one have had time to take over reading. If the readers
   * went silent, they may have ended with all of these daemons, so this one waits for a short time.
   */
  isOwnTurn(): boolean {
    const nowMs = performance.now();
    const { readerRegistry, table, getReaderRank } = this.#options;
    const rank = getReaderRank(readerRegistry.listLostReaders(table, nowMs));
    if (rank === undefined) {
      this.#tooFewReadersSinceMs = nowMs;
      return false;
    }
    this.#silentSinceMs = this.#areReadersSilent(nowMs)
      ? (this.#silentSinceMs ?? nowMs)
      : undefined;
    this.#silenceTurnAtMs = (this.#silentSinceMs ?? Infinity) + SILENCE_TAKEOVER_INTERVAL_MS * rank;
    if (this.#silenceTurnAtMs <= nowMs) {
      this.#takeTurn();
    }
    this.#tooFewReadersSinceMs ??= nowMs;
    return nowMs - this.#tooFewReadersSinceMs >= TAKEOVER_INTERVAL_MS * rank;
  }

  /** Time in ms after which a daemon whose turn has not come must check again. */
  get turnCheckInMs(): number {
    return Math.min(MAX_TAKEOVER_WAIT_MS, Math.max(1, this.#silenceTurnAtMs - performance.now()));
  }

  /** Takes the turn and keeps it until there are enough other readers. */
  #takeTurn(): void {
    if (this.#tooFewReadersSinceMs !== -Infinity) {
      const { logger, table } = this.#options;
      logger.info({ event: 'readersSilent', table }, 'readers went silent; reading the table');
      this.#tooFewReadersSinceMs = -Infinity;
    }
  }

  /** False soon after this daemon has lost the store: reading would not help. */
  #areReadersSilent(nowMs: number): boolean {
    const { readerRegistry, table, countDaemons } = this.#options;
    return (
      nowMs >= this.#backsOffUntilMs &&
      readerRegistry.areReadersSilent(table, countDaemons(), nowMs)
    );
  }

  /**
   * A reader whose feed has gone silent reports nothing new, and gives up its request a little
   * after the wait. If the wait has just become shorter, readers may still have requests with the
   * longer one.
   */
  #getReportQuery(): ReportQuery {
    const nowMs = performance.now();
    const waitMs = this.#options.getWaitMs();
    const era = this.#options.storeEra.newest;
    if (waitMs >= this.#maxWaitMs || nowMs > this.#maxWaitEndsAtMs) {
      this.#maxWaitMs = waitMs;
      this.#maxWaitEndsAtMs = nowMs + waitMs;
    }
    return { nowMs, maxAgeMs: this.#maxWaitMs + REPORT_AGE_MARGIN_MS, era };
  }
}

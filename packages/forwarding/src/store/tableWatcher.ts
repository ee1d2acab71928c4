/**
 * Follows one table: reads it whole, then its changes. A feed may go silent without a reset, and its
 * history may be dropped; each call has a time-out of its own, and after any failure the table is
 * read again or the feed is resumed on a new connection.
 */
import { getErrorMessage, sleep, type Logger, type Random } from '@snipehaven/common';
import { readClocks, type Freshness } from '../configuration/freshness.js';
import { HistoryGoneError } from '../errors.js';
import type { RowStore, StoreChange, StoreRow } from './types.js';

export interface TableListener {
  /** `serverTimeMs`: the store's steady clock as it answered. */
  onAll(rows: readonly StoreRow[], serverTimeMs: number): void;
  onChange(change: StoreChange, serverTimeMs: number): void;
  /** The store did not answer. */
  onLost(): void;
  /** The store answers again after it was lost, before its rows are taken. */
  onBack(): void;
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
  /** Confirmed by each answer. */
  readonly freshness?: Freshness;
}

/** Until the store is asked again: a cut that heals should not cost more than this beside the cut. */
const FIRST_BACKOFF_MS = 120;
const MAX_BACKOFF_MS = 400;

export class TableWatcher {
  readonly #options: WatchOptions;

  /** Undefined: the table must be read whole. */
  #version: number | undefined;

  #failures = 0;

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
    const asked = readClocks();
    try {
      const version = this.#version;
      const serverTimeMs = await (version === undefined
        ? this.#readAll()
        : this.#readChanges(version));
      this.#options.freshness?.confirm({ asked, serverTimeMs });
    } catch (error) {
      await this.#recover(error);
    }
  }

  /** Resolves with the store's clock as it answered. */
  async #readAll(): Promise<number> {
    const { store, table, listener } = this.#options;
    const page = await store.readRows(table);
    this.#noteAnswer();
    listener.onAll(page.items, page.serverTimeMs);
    this.#version = page.version;
    return page.serverTimeMs;
  }

  async #readChanges(after: number): Promise<number> {
    const { store, table, getWaitMs, gatherMs, listener } = this.#options;
    const page = await store.readChanges(table, after, getWaitMs());
    this.#noteAnswer();
    page.items.forEach((change) => listener.onChange(change, page.serverTimeMs));
    this.#version = page.version;
    if (page.items.length > 0) {
      await sleep(gatherMs);
    }
    return page.serverTimeMs;
  }

  #noteAnswer(): void {
    if (this.#failures > 0) {
      const { logger, table, listener } = this.#options;
      logger.info(
        { event: 'storeRegained', table, failures: this.#failures },
        'store answers again',
      );
      this.#failures = 0;
      listener.onBack();
    }
  }

  async #recover(error: unknown): Promise<void> {
    const { logger, table, listener, random } = this.#options;
    if (error instanceof HistoryGoneError) {
      logger.info({ event: 'historyGone', table }, 'feed history gone; reading the table again');
      this.#version = undefined;
      this.#failures += 1;
      listener.onLost();
      return;
    }
    if (this.#failures === 0) {
      logger.warn({ event: 'storeLost', table, cause: getErrorMessage(error) }, 'store lost');
      listener.onLost();
    }
    this.#failures += 1;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** Math.min(6, this.#failures - 1),
    );
    await sleep(backoffMs * (0.5 + random.next()));
  }
}

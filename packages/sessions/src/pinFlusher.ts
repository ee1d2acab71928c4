/** Writes changed pins to the table in the background, at a limited rate. */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { PinCache } from './pinCache.js';
import { toPin } from './pinRow.js';
import type { BucketWrite, PinTable } from './pinTable.js';
import type { Pin, PinSettings } from './types.js';

const MS_PER_SECOND = 1_000;

export interface PinFlusherOptions {
  readonly cache: PinCache;
  readonly table: PinTable;
  readonly logger: Logger;
  readonly settings: PinSettings;
  /** The number of daemons that share the write rate. */
  readonly getDaemonCount: () => number;
  /** Called before each round of writes. */
  readonly beforeFlush: () => void;
  /** Called when a pin written by another data centre has replaced one held here. */
  readonly onReplaced: (from: Pin, to: Pin) => void;
}

export class PinFlusher {
  readonly #options: PinFlusherOptions;

  /** Buckets with pins that the table may lack, in the order in which they were marked. */
  readonly #dirtyBuckets = new Set<number>();

  #stopping = new AbortController();

  #running: Promise<void> = Promise.resolve();

  /** Rows that may be written now within the rate limit. */
  #writeAllowance = 0;

  constructor(options: PinFlusherOptions) {
    this.#options = options;
  }

  get dirtyCount(): number {
    return this.#dirtyBuckets.size;
  }

  markDirty(bucket: number): void {
    this.#dirtyBuckets.add(bucket);
  }

  start(): void {
    this.#stopping = new AbortController();
    this.#running = this.#run(this.#stopping.signal);
  }

  /**
   * Stops the background writes and writes the remaining buckets regardless of the rate limit; also
   * resolves if that fails.
   */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#running;
    const { maxRowsPerFlush } = this.#options.settings;
    for (let left = Infinity; this.#dirtyBuckets.size < left;) {
      left = this.#dirtyBuckets.size;
      await this.flush(maxRowsPerFlush);
    }
  }

  /** Writes up to `maxRows` buckets; buckets that fail stay dirty until the next call. */
  async flush(maxRows: number): Promise<void> {
    const buckets = [...this.#dirtyBuckets].slice(0, maxRows);
    if (buckets.length === 0) {
      return;
    }
    buckets.forEach((bucket) => this.#dirtyBuckets.delete(bucket));
    try {
      const { cache, table } = this.#options;
      const held = buckets.map((bucket) => ({ bucket, pins: cache.getBucketPins(bucket) }));
      (await table.writeBuckets(held)).forEach((write) => this.#applyWriteResult(write));
    } catch (error) {
      buckets.forEach((bucket) => this.#dirtyBuckets.add(bucket));
      this.#options.logger.debug(
        { err: getErrorMessage(error) },
        'failed to write pins to the table',
      );
    }
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.#options.settings.flushIntervalMs, signal);
      this.#options.cache.dropExpired(Date.now());
      this.#options.beforeFlush();
      await this.flush(this.#takeWriteAllowance());
    }
  }

  /**
   * Keeps all daemons together below the rate limit, whatever their number. Little allowance
   * accumulates while idle, otherwise every daemon would write at once in a burst of new sessions.
   */
  #takeWriteAllowance(): number {
    const { flushIntervalMs, maxTableWritesPerSecond, maxRowsPerFlush } = this.#options.settings;
    const daemonCount = Math.max(1, this.#options.getDaemonCount());
    const earned = (flushIntervalMs / MS_PER_SECOND) * (maxTableWritesPerSecond / daemonCount);
    const accumulated = Math.min(this.#writeAllowance + earned, earned + 1);
    const rows = Math.floor(Math.min(maxRowsPerFlush, accumulated));
    this.#writeAllowance = accumulated - Math.min(rows, this.#dirtyBuckets.size);
    return rows;
  }

  /** Adopts what other data centres wrote about sessions that are held here. */
  #applyWriteResult({ bucket, kind, merged }: BucketWrite): void {
    if (kind === 'conflict') {
      this.#dirtyBuckets.add(bucket);
    }
    this.#options.cache.getBucketPins(bucket).forEach((held, key) => {
      const known = merged.get(key);
      const inForce = known && this.#options.cache.merge(toPin(known), known.usedAtMs);
      if (inForce && inForce.version !== held.version) {
        this.#options.onReplaced(toPin(held), inForce);
      }
    });
  }
}

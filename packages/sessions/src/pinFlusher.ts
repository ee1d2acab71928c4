/** Writes changed pins to the table behind the requests, at a bounded rate. */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { PinMemory } from './pinMemory.js';
import { toPin } from './pinRow.js';
import type { BucketWrite, PinTable } from './pinTable.js';
import type { Pin, PinSettings } from './types.js';

const MS_PER_SECOND = 1_000;

export interface PinFlusherOptions {
  readonly memory: PinMemory;
  readonly table: PinTable;
  readonly logger: Logger;
  readonly settings: PinSettings;
  /** How many daemons share the rate of writes. */
  readonly getDaemonCount: () => number;
  /** Called before each round of writes. */
  readonly onRound: () => void;
  /** Called with a pin that another data centre's pin has replaced. */
  readonly onReplaced: (from: Pin, to: Pin) => void;
}

export class PinFlusher {
  readonly #options: PinFlusherOptions;

  /** Buckets with pins that the table may lack, longest waiting first. */
  readonly #dirty = new Set<number>();

  #stopping = new AbortController();

  #running: Promise<void> = Promise.resolve();

  /** Rows that may be written now, as the rate allows. */
  #allowance = 0;

  constructor(options: PinFlusherOptions) {
    this.#options = options;
  }

  get dirtyCount(): number {
    return this.#dirty.size;
  }

  mark(bucket: number): void {
    this.#dirty.add(bucket);
  }

  start(): void {
    this.#stopping = new AbortController();
    this.#running = this.#run(this.#stopping.signal);
  }

  /** Ends the background writes and writes what is left, rate or not; resolves also if that fails. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#running;
    const { maxRowsPerFlush } = this.#options.settings;
    for (let left = Infinity; this.#dirty.size < left;) {
      left = this.#dirty.size;
      await this.flush(maxRowsPerFlush);
    }
  }

  /** Writes up to `maxRows` buckets; those that fail wait for the next call. */
  async flush(maxRows: number): Promise<void> {
    const buckets = [...this.#dirty].slice(0, maxRows);
    if (buckets.length === 0) {
      return;
    }
    buckets.forEach((bucket) => this.#dirty.delete(bucket));
    try {
      const { memory, table } = this.#options;
      const held = buckets.map((bucket) => ({ bucket, pins: memory.getBucketPins(bucket) }));
      (await table.writeBuckets(held)).forEach((write) => this.#adopt(write));
    } catch (error) {
      buckets.forEach((bucket) => this.#dirty.add(bucket));
      this.#options.logger.debug({ err: getErrorMessage(error) }, 'pins not written');
    }
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.#options.settings.flushIntervalMs, signal);
      this.#options.memory.dropExpired(Date.now());
      this.#options.onRound();
      await this.flush(this.#takeAllowance());
    }
  }

  /**
   * All daemons together stay under the rate, however many there are. Little is saved up while idle:
   * a burst of new sessions would otherwise let every daemon write at once.
   */
  #takeAllowance(): number {
    const { flushIntervalMs, maxTableWritesPerSecond, maxRowsPerFlush } = this.#options.settings;
    const daemonCount = Math.max(1, this.#options.getDaemonCount());
    const earned = (flushIntervalMs / MS_PER_SECOND) * (maxTableWritesPerSecond / daemonCount);
    const saved = Math.min(this.#allowance + earned, earned + 1);
    const rows = Math.floor(Math.min(maxRowsPerFlush, saved));
    this.#allowance = saved - Math.min(rows, this.#dirty.size);
    return rows;
  }

  /** Takes over what other data centres wrote about sessions that are held here. */
  #adopt({ bucket, kind, merged }: BucketWrite): void {
    if (kind === 'conflict') {
      this.#dirty.add(bucket);
    }
    this.#options.memory.getBucketPins(bucket).forEach((held, key) => {
      const known = merged.get(key);
      const inForce = known && this.#options.memory.merge(toPin(known), known.usedAtMs);
      if (inForce && inForce.version !== held.version) {
        this.#options.onReplaced(toPin(held), inForce);
      }
    });
  }
}

/** Keeps new work from upstreams of which this daemon knows too little, after a freeze or a cut. */
import { sleep } from '@snipehaven/common';
import { createSteadyClock } from './teamShares/steadyClock.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** Reads anew what is known of upstreams; rejects when there is no answer. */
export interface UpstreamReader {
  readLoad(entry: UpstreamEntry): Promise<void>;
  readVmList(): Promise<void>;
}

/** Whether an upstream may be sent to. */
export type Freshness = 'fresh' | 'unreachable';

/** An engine takes new work on a load report that was read so long ago at most. */
const MAX_LOAD_AGE_MS = 2_500;
/** Services on a VM list read so long ago; it is tried again no sooner. */
const MAX_VM_LIST_AGE_MS = 5_000;
/** How long a request waits for a reading. */
const MAX_WAIT_MS = 300;

/** After a reading failed the next one begins no sooner, and requests do not wait. */
const RETRY_MS = 1_000;

export class UpstreamFreshness {
  readonly #onUnreachable: (entry: UpstreamEntry) => void;

  readonly #getNowMs = createSteadyClock();

  #reader: UpstreamReader | undefined;

  #vmListReadAtMs = -Infinity;

  #vmListTriedAtMs = -Infinity;

  #readingVmList: Promise<unknown> | undefined;

  readonly #readingLoads = new Map<UpstreamEntry, Promise<Freshness>>();

  readonly #failedAtMs = new WeakMap<UpstreamEntry, number>();

  constructor(onUnreachable: (entry: UpstreamEntry) => void) {
    this.#onUnreachable = onUnreachable;
  }

  get nowMs(): number {
    return this.#getNowMs();
  }

  /** From now on stale upstreams are read before they are used. */
  setReader(reader: UpstreamReader): void {
    this.#reader = reader;
  }

  noteVmListRead(): void {
    this.#vmListReadAtMs = this.nowMs;
  }

  isStale(entry: UpstreamEntry): boolean {
    const isRead = this.nowMs - entry.loadReadAtMs <= MAX_LOAD_AGE_MS;
    return this.#reader !== undefined && entry.spec.type === 'engine' && !isRead;
  }

  /**
   * What goes wrong: a daemon that was frozen or cut off wakes up with its old view, and sends requests to
   * an engine that has been leaving for long. One notices runs that an engine started seconds after it said
   * so. The last word of the engine must be young by a clock that goes on during a freeze; else it is asked
   * once more, for all requests that wait. An engine that does not answer can't be given work either.
   */
  refresh(entry: UpstreamEntry): Promise<Freshness> {
    const present = this.#readingLoads.get(entry);
    if (present) {
      return present;
    }
    const reading = this.#read(entry).finally(() => this.#readingLoads.delete(entry));
    this.#readingLoads.set(entry, reading);
    return reading;
  }

  /**
   * Services say nothing of themselves, so the VM list is read anew. While it is away the old one serves:
   * a data centre that is cut off from the platform goes on with what it has.
   */
  async refreshVmList(): Promise<void> {
    const { nowMs } = this;
    const isDue = nowMs - this.#vmListReadAtMs > MAX_VM_LIST_AGE_MS;
    const isTried = nowMs - this.#vmListTriedAtMs <= MAX_VM_LIST_AGE_MS;
    if (isDue && !isTried && this.#reader) {
      this.#vmListTriedAtMs = nowMs;
      this.#readingVmList = UpstreamFreshness.#wait(this.#reader.readVmList());
    }
    await this.#readingVmList;
  }

  async #read(entry: UpstreamEntry): Promise<Freshness> {
    const failedAtMs = this.#failedAtMs.get(entry) ?? -Infinity;
    if (this.#reader === undefined || this.nowMs - failedAtMs < RETRY_MS) {
      return 'unreachable';
    }
    await UpstreamFreshness.#wait(this.#reader.readLoad(entry));
    if (!this.isStale(entry)) {
      return 'fresh';
    }
    this.#failedAtMs.set(entry, this.nowMs);
    this.#onUnreachable(entry);
    return 'unreachable';
  }

  static async #wait(reading: Promise<void>): Promise<void> {
    const timer = new AbortController();
    const settled = reading.catch(() => undefined);
    await Promise.race([settled, sleep(MAX_WAIT_MS, timer.signal)]);
    timer.abort();
  }
}

/**
 * Withholds new work from upstreams whose state may be outdated after a process pause or a network
 * partition.
 */
import { sleep } from '@snipehaven/common';
import { createSuspendAwareClock } from './teamShares/suspendAwareClock.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** Reads the current state of upstreams; rejects if there is no response. */
export interface UpstreamReader {
  readLoad(entry: UpstreamEntry): Promise<void>;
  readVmList(): Promise<void>;
}

export type Freshness = 'fresh' | 'unreachable';

/** The maximum age of the load report on which an engine is sent new work. */
const MAX_LOAD_AGE_MS = 2_500;
/**
 * The maximum age of the VM list for services; also the minimum interval between attempts to read
 * it.
 */
const MAX_VM_LIST_AGE_MS = 5_000;
/** How long a request waits for a read. */
const READ_TIMEOUT_MS = 300;

/** After a failed read, the next one starts no sooner than this, and requests do not wait. */
const RETRY_DELAY_MS = 1_000;

export class UpstreamFreshness {
  readonly #onUnreachable: (entry: UpstreamEntry) => void;

  readonly #getNowMs = createSuspendAwareClock();

  #reader: UpstreamReader | undefined;

  #vmListReadAtMs = -Infinity;

  #vmListAttemptedAtMs = -Infinity;

  #pendingVmListRead: Promise<unknown> | undefined;

  readonly #pendingLoadReads = new Map<UpstreamEntry, Promise<Freshness>>();

  readonly #failedAtMs = new WeakMap<UpstreamEntry, number>();

  constructor(onUnreachable: (entry: UpstreamEntry) => void) {
    this.#onUnreachable = onUnreachable;
  }

  get nowMs(): number {
    return this.#getNowMs();
  }

  /** Enables reading of stale upstreams before they are used. */
  setReader(reader: UpstreamReader): void {
    this.#reader = reader;
  }

  recordVmListRead(): void {
    this.#vmListReadAtMs = this.nowMs;
  }

  isStale(entry: UpstreamEntry): boolean {
    const isRecent = this.nowMs - entry.loadRequestedAtMs <= MAX_LOAD_AGE_MS;
    return this.#reader !== undefined && entry.spec.type === 'engine' && !isRecent;
  }

  /**
   * A daemon that was paused or partitioned resumes with an outdated view and could send requests
   * to an engine that has long been leaving, which shows as runs that an engine started seconds
   * after it announced its leave. The engine's last report must therefore be recent by a clock that
   * advances during a pause; otherwise it is requested once more, on behalf of all waiting
   * requests. An engine that does not respond gets no work either.
   */
  refresh(entry: UpstreamEntry): Promise<Freshness> {
    const existing = this.#pendingLoadReads.get(entry);
    if (existing) {
      return existing;
    }
    const pendingRead = this.#read(entry).finally(() => this.#pendingLoadReads.delete(entry));
    this.#pendingLoadReads.set(entry, pendingRead);
    return pendingRead;
  }

  /**
   * Services do not report their own state, so the VM list is read instead. If it is unavailable,
   * the last one remains in use: a data centre cut off from the platform continues with what it
   * has.
   */
  async refreshVmList(): Promise<void> {
    const { nowMs } = this;
    const isDue = nowMs - this.#vmListReadAtMs > MAX_VM_LIST_AGE_MS;
    const wasAttemptedRecently = nowMs - this.#vmListAttemptedAtMs <= MAX_VM_LIST_AGE_MS;
    if (isDue && !wasAttemptedRecently && this.#reader) {
      this.#vmListAttemptedAtMs = nowMs;
      this.#pendingVmListRead = UpstreamFreshness.#waitForRead(this.#reader.readVmList());
    }
    await this.#pendingVmListRead;
  }

  async #read(entry: UpstreamEntry): Promise<Freshness> {
    const failedAtMs = this.#failedAtMs.get(entry) ?? -Infinity;
    if (this.#reader === undefined || this.nowMs - failedAtMs < RETRY_DELAY_MS) {
      return 'unreachable';
    }
    await UpstreamFreshness.#waitForRead(this.#reader.readLoad(entry));
    if (!this.isStale(entry)) {
      return 'fresh';
    }
    this.#failedAtMs.set(entry, this.nowMs);
    this.#onUnreachable(entry);
    return 'unreachable';
  }

  static async #waitForRead(pendingRead: Promise<void>): Promise<void> {
    const timer = new AbortController();
    const settled = pendingRead.catch(() => undefined);
    await Promise.race([settled, sleep(READ_TIMEOUT_MS, timer.signal)]);
    timer.abort();
  }
}

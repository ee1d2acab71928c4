/** A small model of an engine: a batch with slots, a bounded queue, a prefix cache and faults. */
import {
  CACHED_PREFILL_SHARE,
  CACHE_PREFIXES,
  EMPTY_BATCH_SHARE,
  ENGINE_MAX_QUEUED,
  ENGINE_SLOTS,
  NETWORK_MS,
  SILENCE_TIMEOUT_MS,
} from './constants.js';
import type { EventQueue } from './eventQueue.js';
import type { EngineFault, SimulatedRequest } from './types.js';

/** What a daemon hears of one attempt. */
export interface AttemptListener {
  onFirstToken(): void;
  onFinished(): void;
  onRefused(): void;
  onUnreachable(): void;
  /** The connection broke or stayed silent too long. */
  onCut(isSilent: boolean): void;
}

interface Attempt {
  readonly request: SimulatedRequest;
  readonly listener: AttemptListener;
}

/** One engine. */
export class EngineModel {
  #events: EventQueue;

  #running = new Set<Attempt>();

  #queue: Attempt[] = [];

  #cache = new Map<string, true>();

  #fault: EngineFault = 'none';

  constructor(events: EventQueue) {
    this.#events = events;
  }

  get running(): number {
    return this.#running.size;
  }

  get queued(): number {
    return this.#queue.length;
  }

  get isReachable(): boolean {
    return this.#fault === 'none';
  }

  /** The prefixes cached now. */
  listCachedPrefixes(): ReadonlySet<string> {
    return new Set(this.#cache.keys());
  }

  /** Sends a request; what becomes of it goes to the listener. */
  submit(request: SimulatedRequest, listener: AttemptListener): void {
    this.#events.schedule(NETWORK_MS, () => this.#receive({ request, listener }));
  }

  /** Starts or ends a fault; a starting one cuts whatever runs or waits. */
  setFault(fault: EngineFault): void {
    this.#fault = fault;
    if (fault === 'none') {
      return;
    }
    const cut = [...this.#running, ...this.#queue];
    this.#running.clear();
    this.#queue = [];
    cut.forEach((attempt) => this.#cut(attempt));
  }

  #receive(attempt: Attempt): void {
    if (this.#fault === 'down') {
      attempt.listener.onUnreachable();
    } else if (this.#fault === 'silent') {
      this.#cut(attempt);
    } else if (this.#running.size < ENGINE_SLOTS) {
      this.#start(attempt);
    } else if (this.#queue.length < ENGINE_MAX_QUEUED) {
      this.#queue.push(attempt);
    } else {
      attempt.listener.onRefused();
    }
  }

  #cut({ listener }: Attempt): void {
    const isSilent = this.#fault === 'silent';
    this.#events.schedule(isSilent ? SILENCE_TIMEOUT_MS : NETWORK_MS, () =>
      listener.onCut(isSilent),
    );
  }

  #start(attempt: Attempt): void {
    this.#running.add(attempt);
    const occupancy = this.#running.size / ENGINE_SLOTS;
    const decodeShare = EMPTY_BATCH_SHARE + (1 - EMPTY_BATCH_SHARE) * occupancy;
    const prefillMs = attempt.request.prefillMs * this.#touchCache(attempt.request.prefixKey);
    this.#events.schedule(prefillMs, () => this.#ifRunning(attempt, attempt.listener.onFirstToken));
    this.#events.schedule(prefillMs + attempt.request.decodeMs * decodeShare, () =>
      this.#ifRunning(attempt, () => this.#finish(attempt)),
    );
  }

  #ifRunning(attempt: Attempt, run: () => void): void {
    if (this.#running.has(attempt)) {
      run();
    }
  }

  #finish(attempt: Attempt): void {
    this.#running.delete(attempt);
    attempt.listener.onFinished();
    const next = this.#running.size < ENGINE_SLOTS ? this.#queue.shift() : undefined;
    if (next) {
      this.#start(next);
    }
  }

  /** Least recently used goes first; answers the share of the prefill that is left to do. */
  #touchCache(prefixKey: string): number {
    const isHit = this.#cache.delete(prefixKey);
    this.#cache.set(prefixKey, true);
    if (this.#cache.size > CACHE_PREFIXES) {
      this.#cache.delete(this.#cache.keys().next().value as string);
    }
    return isHit ? CACHED_PREFILL_SHARE : 1;
  }
}

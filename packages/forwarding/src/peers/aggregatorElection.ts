/**
 * Selects the daemon of a data centre that aggregates the loads of all its daemons and sends them
 * the result. There is no vote: the current aggregator keeps its role while it is heard. Of two,
 * the one that counts more daemons wins, and after a silence the daemons become candidates one
 * after another, in an order known to all. Two aggregators at once do little harm, because each
 * sends what was reported to it.
 */
import { AGGREGATOR_ORDER } from './rendezvousOrder.js';

/**
 * Aggregates are sent every 150 ms, and every other one may be lost. After a longer silence the
 * aggregator is considered dead, frozen or disconnected. Until the next one takes over, daemons
 * place work by the last known loads and their own.
 */
export const AGGREGATOR_TIMEOUT_MS = 600;

/**
 * The next candidate sends an aggregate within a tick and is heard soon after; otherwise the one
 * after it becomes the candidate.
 */
const CANDIDATE_INTERVAL_MS = 300;

/** The sender of an aggregate and the number of daemons included in it. */
export interface AggregateSource {
  readonly vm: string;
  readonly members: number;
}

export class AggregatorElection {
  readonly #self: string;

  readonly #listCandidates: () => readonly string[];

  /** The last known aggregator; undefined before the first aggregate. */
  #current: string | undefined;

  /** Number of daemons included in its last aggregate. */
  #memberCount = 0;

  /** When the aggregator was last heard, or when waiting for the first one began. */
  #lastHeardAtMs: number;

  /** `listCandidates`: the daemons of the data centre in `AGGREGATOR_ORDER`, including this one. */
  constructor(self: string, listCandidates: () => readonly string[], nowMs: number) {
    this.#self = self;
    this.#listCandidates = listCandidates;
    this.#lastHeardAtMs = nowMs;
  }

  /**
   * The daemon to which loads are reported; undefined before the first aggregate and until the
   * first time-out.
   */
  findAggregator(nowMs: number): string | undefined {
    if (this.#current === this.#self) {
      return this.#self;
    }
    const silentMs = nowMs - this.#lastHeardAtMs;
    if (silentMs <= AGGREGATOR_TIMEOUT_MS) {
      return this.#current;
    }
    const candidate = this.#findCandidate(silentMs);
    if (candidate === this.#self) {
      this.#current = this.#self;
      this.#memberCount = 0;
    }
    return candidate;
  }

  /** Time in ms until the aggregator counts as silent; negative if it does. */
  getTimeoutInMs(nowMs: number): number {
    return this.#lastHeardAtMs + AGGREGATOR_TIMEOUT_MS - nowMs;
  }

  isSelf(nowMs: number): boolean {
    return this.findAggregator(nowMs) === this.#self;
  }

  /** Returns false if another daemon's aggregates are preferred. */
  handleAggregate({ vm, members }: AggregateSource, nowMs: number): boolean {
    if (this.#isPreferred({ vm, members }, nowMs)) {
      this.#current = vm;
      this.#memberCount = members;
      this.#lastHeardAtMs = nowMs;
      return true;
    }
    return false;
  }

  /** Records how many other daemons this daemon's own aggregate includes. */
  noteOwnAggregate(members: number): void {
    this.#memberCount = members;
  }

  /**
   * Called when this daemon was suspended. If it was the aggregator, another daemon has taken over
   * by now, and its own aggregates would lack everything reported meanwhile; so it first waits for
   * the other's.
   */
  handlePause(nowMs: number): void {
    if (this.#current === this.#self) {
      this.#current = undefined;
    }
    this.#lastHeardAtMs = nowMs;
  }

  /**
   * Of two live aggregators, the one that counts more daemons wins: one that was disconnected comes
   * back with nothing but its own loads.
   */
  #isPreferred({ vm, members }: AggregateSource, nowMs: number): boolean {
    const current = this.#current;
    const isSilent = current !== this.#self && nowMs - this.#lastHeardAtMs > AGGREGATOR_TIMEOUT_MS;
    if (current === undefined || current === vm || isSilent) {
      return true;
    }
    const isEqual = members === this.#memberCount;
    return isEqual ? AGGREGATOR_ORDER.isBefore(vm, current) : members > this.#memberCount;
  }

  #findCandidate(silentMs: number): string | undefined {
    const candidates = this.#listCandidates().filter((vm) => vm !== this.#current);
    const candidateIndex = Math.floor((silentMs - AGGREGATOR_TIMEOUT_MS) / CANDIDATE_INTERVAL_MS);
    return candidates[candidateIndex % candidates.length];
  }
}

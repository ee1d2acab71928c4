/**
 * Limits the combined rate of all daemons to a cold upstream to what it can take. An upstream that
 * has just returned looks idle to every daemon and would exit again under what they send at once,
 * seen as an exit shortly after a start.
 */
import { getColdShare } from '@snipehaven/policy';
import type { WarmUpFacts } from '../types.js';
import { COLD_WINDOW_MS } from './coldState.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** The other daemons, as far as this one knows them. */
export interface FleetMembership {
  /** Number of daemons, including this one. */
  readonly daemons: number;
  /**
   * Whether this daemon has had time to hear from the others; before that it would claim the whole
   * rate for itself.
   */
  readonly hasDiscoveredPeers: boolean;
  /** Rank of this daemon in the order derived from the key: the number of daemons before it. */
  countBefore(key: string): number;
}

export class ColdRateLimiter {
  readonly #fleet: FleetMembership;

  constructor(fleet: FleetMembership) {
    this.#fleet = fleet;
  }

  admits(entry: UpstreamEntry, warmUp: WarmUpFacts | undefined, nowMs: number): boolean {
    const isUnlimited = warmUp === undefined || !entry.cold.isCold(nowMs);
    return isUnlimited || entry.cold.countSent(nowMs) < this.#getShare(entry, warmUp);
  }

  /**
   * Time in ms until one of them accepts a request; undefined if none is cold. Never longer than
   * the rate window: callers may come back to any daemon, and each daemon's share is renewed within
   * a window.
   */
  getWaitMs(
    entries: readonly UpstreamEntry[],
    warmUp: WarmUpFacts,
    nowMs: number,
  ): number | undefined {
    const cold = entries.filter((entry) => entry.cold.isCold(nowMs));
    const waits = cold.map((entry) => entry.cold.getWaitMs(this.#getShare(entry, warmUp), nowMs));
    return cold.length === 0 ? undefined : Math.min(COLD_WINDOW_MS, ...waits);
  }

  #getShare({ lifeId }: UpstreamEntry, { requestsPerS }: WarmUpFacts): number {
    const { daemons, hasDiscoveredPeers: isAcquainted } = this.#fleet;
    return isAcquainted
      ? getColdShare({ ratePerS: requestsPerS, daemons, rank: this.#fleet.countBefore(lifeId) })
      : 0;
  }
}

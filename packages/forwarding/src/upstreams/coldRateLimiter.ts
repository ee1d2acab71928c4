/**
 * Limits the combined rate of all daemons to a cold upstream to what it can take. An upstream that
 * has just returned looks idle to every daemon and would exit again under what they send at once,
 * seen as an exit shortly after a start.
 */
import { getColdShare } from '@snipehaven/policy';
import type { WarmUpFacts } from '../types.js';
import { COLD_WINDOW_MS } from './coldState.js';
import type { FleetMembership } from './types.js';
import type { UpstreamEntry } from './upstreamEntry.js';

export class ColdRateLimiter {
  readonly #fleet: FleetMembership;

  constructor(fleet: FleetMembership) {
    this.#fleet = fleet;
  }

  /**
   * Time in ms until this daemon may send the upstream one more request; 0 if it may now. Never
   * longer than the rate window: callers may come back to any daemon, and each daemon's share is
   * renewed within a window.
   */
  getWaitMs(entry: UpstreamEntry, warmUp: WarmUpFacts | undefined, nowMs: number): number {
    if (warmUp === undefined || !entry.cold.isCold(nowMs)) {
      return 0;
    }
    const share = this.#getShare(entry, warmUp);
    return entry.cold.countSent(nowMs) < share
      ? 0
      : Math.min(COLD_WINDOW_MS, entry.cold.getWaitMs(share, nowMs));
  }

  #getShare({ lifeId }: UpstreamEntry, { requestsPerS }: WarmUpFacts): number {
    const { daemons, hasDiscoveredPeers: isAcquainted } = this.#fleet;
    return isAcquainted
      ? getColdShare({ ratePerS: requestsPerS, daemons, rank: this.#fleet.countBefore(lifeId) })
      : 0;
  }
}

/** Keeps all daemons together to the request rate that an upstream states in its answers. */
import { getProbeAgeMs, getRateShare } from '@snipehaven/policy';
import type { FleetMembership } from './types.js';
import type { UpstreamEntry } from './upstreamEntry.js';

const MS_PER_S = 1_000;

export class RateLimiter {
  readonly #fleet: FleetMembership;

  constructor(fleet: FleetMembership) {
    this.#fleet = fleet;
  }

  /**
   * Time in ms until this daemon may send the upstream one more request; 0 if it may now. Never
   * longer than the rate window: callers may come back to any daemon, and the shares of the others
   * are renewed within a window.
   */
  getWaitMs(entry: UpstreamEntry, nowMs: number): number {
    const { requestsPerS: ratePerS } = entry.rateLimit;
    if (ratePerS === undefined) {
      return 0;
    }
    const { daemons, hasDiscoveredPeers } = this.#fleet;
    const limit = { ratePerS, daemons, rank: this.#fleet.countBefore(entry.lifeId) };
    const { requests, windowMs, requestsInAnyS } = getRateShare(limit);
    const shareWaitMs = Math.max(
      entry.rateLimit.getWaitMs(hasDiscoveredPeers ? requests : 0, windowMs, nowMs),
      entry.rateLimit.getWaitMs(requestsInAnyS, MS_PER_S, nowMs),
    );
    const { heardAtMs, lastSentAtMs } = entry.rateLimit;
    const probeAtMs = Math.max(heardAtMs, lastSentAtMs) + getProbeAgeMs(limit);
    return Math.min(windowMs, shareWaitMs, Math.max(0, probeAtMs - nowMs));
  }
}

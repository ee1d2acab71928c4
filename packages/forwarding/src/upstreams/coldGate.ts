/**
 * Keeps what all daemons send to a cold upstream within what it takes. One that is back looks idle to
 * every daemon, and ends again under what they send at once; it shows as an end shortly after a start.
 */
import { getColdShare } from '@snipehaven/policy';
import type { WarmUpFacts } from '../types.js';
import { COLD_WINDOW_MS } from './coldState.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** The daemons, as this one knows them. */
export interface FleetMembership {
  /** This one among them. */
  readonly daemons: number;
  /** Whether this daemon has had time to hear of the others: alone it would think the whole rate its own. */
  readonly isAcquainted: boolean;
  /** How many daemons come before this one in the order of the key. */
  countBefore(key: string): number;
}

export class ColdGate {
  readonly #fleet: FleetMembership;

  constructor(fleet: FleetMembership) {
    this.#fleet = fleet;
  }

  /** Whether one more request may go there now. */
  admits(entry: UpstreamEntry, warmUp: WarmUpFacts | undefined, nowMs: number): boolean {
    const isUnlimited = warmUp === undefined || !entry.cold.isCold(nowMs);
    return isUnlimited || entry.cold.countSent(nowMs) < this.#getShare(entry, warmUp);
  }

  /**
   * Until a request may go to one of them; undefined where none is cold. Never longer than the window:
   * callers come back to any daemon, and within it each has its part anew.
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
    const { daemons, isAcquainted } = this.#fleet;
    return isAcquainted
      ? getColdShare({ ratePerS: requestsPerS, daemons, rank: this.#fleet.countBefore(lifeId) })
      : 0;
  }
}

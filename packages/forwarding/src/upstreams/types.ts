/** Types shared by the limits on what may be sent to an upstream. */
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

/** Places that daemons lend each other at upstreams that can turn few requests away. */
export interface PlaceSource {
  /** Time in ms until a place may be asked for; 0 if it may now, or none is needed. */
  getWaitMs(upstream: UpstreamEntry, nowMs: number): number;
}

/** Why an upstream gets no request for now. */
export type HoldOffReason =
  'warmingUp' | 'upstreamsLimited' | 'upstreamsBackedOff' | 'upstreamsFull';

/** How long an upstream gets no request from this daemon, and why. */
export interface HoldOff {
  readonly reason: HoldOffReason;
  readonly waitMs: number;
}

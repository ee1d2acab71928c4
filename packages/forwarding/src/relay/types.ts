/** Types of connections to upstreams through other daemons. */
import type { CountingStream } from '../exchange/index.js';

/** The upstream that a connection is wanted to. */
export interface RelayTarget {
  readonly lifeId: string;
  readonly service: string;
  readonly dataCentre: string;
}

/**
 * What a daemon that was asked to relay a connection found. `refused`, `silent`: it reaches other
 * upstreams, but not this one. `unavailable`: it cannot tell, or takes no more connections.
 */
export type RelayOutcome = 'connected' | 'refused' | 'silent' | 'unavailable';

export interface RelayResult {
  readonly outcome: RelayOutcome;
  /** Set if connected. */
  readonly stream?: CountingStream;
}

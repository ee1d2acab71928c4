/** All that one daemon answers to another, by concern. Its remote form has the same shape. */
import type { ConfigurationHandlers } from './configuration/messages.js';
import type { EvidenceHandlers } from './evidence/messages.js';
import type { LimitHandlers } from './limits/messages.js';
import type { MembershipHandlers } from './membership/messages.js';
import type { SessionHandlers } from './sessions/messages.js';
import type { TimelineHandlers } from './timeline/messages.js';
import type { UsageHandlers } from './usage/messages.js';

export interface PeerHandlers {
  readonly membership: MembershipHandlers;
  readonly configuration: ConfigurationHandlers;
  readonly usage: UsageHandlers;
  readonly evidence: EvidenceHandlers;
  readonly limits: LimitHandlers;
  readonly sessions: SessionHandlers;
  readonly timeline: TimelineHandlers;
}

/** Reaches other daemons; calls reject with `PeerUnreachableError`. */
export interface PeerTransport {
  /** The daemon whose inner protocol listens at `ip:port`. */
  getPeer(address: string): PeerHandlers;
}

/** Limits and default settings of membership. */
import type { MembershipSettings } from './types.js';

export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  probeIntervalMs: 1_000,
  probeTimeoutMs: 800,
  indirectTimeoutMs: 500,
  relayIntervalMs: 2_000,
  healIntervalMs: 5_000,
  vmListIntervalMs: 10_000,
  suspicionMs: 4_000,
  remoteSuspicionFactor: 4,
  forgetAfterMs: 3_600_000,
  repairIntervalMs: 3_000,
  pauseThresholdMs: 1_000,
};

/**
 * Maximum number of updated records per message. At this limit, a member stays within its 6 KB/s.
 */
export const MAX_PIGGYBACK = 6;
/** Maximum number of records of differing buckets per message; one whole bucket is always sent. */
export const MAX_REPAIR_MEMBERS = 64;
export const BUCKETS = 64;
/**
 * Maximum number of repair rounds with one peer when joining or when contacting another data
 * centre.
 */
export const MAX_REPAIR_ROUNDS = 12;
/** Number of times that each record is sent, per power of ten of members. */
export const TRANSMITS_PER_LOG_SIZE = 4;
/** Number of members that probe an unresponsive member indirectly. */
export const INDIRECT_PROBERS = 3;
/** Number of members of the data centre that exchange with each other data centre. */
export const RELAYS_PER_DATA_CENTRE = 2;
/** Number of members that are notified directly when this one leaves. */
export const LEAVE_FANOUT = 4;
/** Relative variation of round intervals, which prevents members from synchronising. */
export const JITTER = 0.1;
/** Factor for the remaining time of a suspect that the platform's VM list does not show as live. */
export const UNLISTED_SUSPICION_FACTOR = 0.5;
/** Number of checks of the pause detector within its threshold. */
export const PAUSE_CHECKS_PER_THRESHOLD = 4;

/** Fraction of a lease that its holder does not rely on, because clocks run at different rates. */
export const LEASE_MARGIN = 0.1;
export const LEASE_PREFIX = 'lease/';
/** Number of members per probe period that are informed that another data centre suspects them. */
export const REMOTE_SUSPECTS_PER_PERIOD = 3;

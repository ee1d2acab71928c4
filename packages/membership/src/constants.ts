/** Bounds and default settings of membership. */
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

/** Records sent along with one message: full ones keep a member within its 6 KB/s. */
export const MAX_PIGGYBACK = 6;
/** Records of differing buckets sent in one message, but always one whole bucket. */
export const MAX_REPAIR_MEMBERS = 64;
export const BUCKETS = 64;
/** Repair rounds with one peer when joining or meeting another data centre. */
export const MAX_REPAIR_ROUNDS = 12;
/** Each record is sent this many times for each power of ten of members, and no more. */
export const TRANSMITS_PER_LOG_SIZE = 4;
/** Members asked to probe one that did not answer. */
export const INDIRECT_HELPERS = 3;
/** Members of the data centre that reach into each other one. */
export const RELAYS_PER_DATA_CENTRE = 2;
/** Members that are told directly when this one leaves. */
export const LEAVE_FANOUT = 4;
/** How far a round's interval is varied, so that members do not fall into step. */
export const JITTER = 0.1;
/** Part of the time left to a suspect that the platform's list does not show as live. */
export const LISTED_GONE_FACTOR = 0.5;
/** The part of a pause watch's threshold at which it looks. */
export const PAUSE_CHECKS_PER_THRESHOLD = 4;

/** Part of a lease that its holder does not count on, against clocks of different rates. */
export const LEASE_MARGIN = 0.1;
export const LEASE_PREFIX = 'lease/';
/** Members told in one probe period that another data centre doubts them. */
export const DOUBTED_PER_PERIOD = 3;

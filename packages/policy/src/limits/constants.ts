/** Constants of limits and admission control. POLICY-UPSTREAMS.md lists the figures. */

/** Lease duration of a granted share. */
export const SHARE_TTL_MS = 6_000;
/** Interval at which a member renews its share. */
export const SHARE_REQUEST_INTERVAL_MS = 2_000;
/** A member without an answer for this long falls back to its fixed share. */
export const SHARE_FALLBACK_MS = 18_000;
/** Maximum relative drift between two clocks; the holder's side allows for it. */
export const SHARE_CLOCK_DRIFT = 0.01;
/**
 * A member that has sent no request for this long is removed, and its fixed share is reserved again
 * along with those of the members that have not reported in this term.
 */
export const SHARE_FORGET_MS = 120_000;

/** Smoothing factor of the moving average of the service time. */
export const SERVICE_TIME_WEIGHT = 0.05;
/** Time constant of the exponential decay of the refusal count. */
export const REFUSAL_DECAY_MS = 5_000;

/** Fraction of the drain rate that returning callers may use. */
export const RETRY_DRAIN_FRACTION = 0.5;
export const RETRY_AFTER_MIN_MS = 1_000;
export const RETRY_AFTER_MAX_MS = 60_000;

/**
 * Number of slots reserved for the smaller teams, as a multiple of the square root of all slots.
 */
export const RESERVED_SLOTS_FACTOR = 0.5;
/** Fraction of its time until the deadline that a request may spend in the queue. */
export const MAX_WAIT_FRACTION = 0.1;

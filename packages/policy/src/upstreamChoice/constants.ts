/**
 * Constants of upstream choice, health tracking and adaptive concurrency. POLICY-UPSTREAMS.md lists
 * the figures.
 */

/**
 * Duration of the slow start, in which a new or returning upstream ramps up to its full share of
 * requests.
 */
export const SLOW_START_MS = 10_000;
/** Relative weight of an upstream at the beginning of its slow start. */
export const SLOW_START_MIN_WEIGHT = 0.1;

/** A prefix is sent to its owners while their load is within this bound relative to the mean. */
export const AFFINITY_LOAD_BOUND = { factor: 1.1, slack: 1 } as const;
/** Pool utilisation above which affinity is disabled in favour of load balance. */
export const AFFINITY_MAX_UTILISATION = 0.6;
/** Number of owners of a prefix as a multiple of its share of the pool, and the minimum number. */
export const AFFINITY_SPREAD = 2;
export const AFFINITY_MIN_OWNERS = 2;
/**
 * Maximum number of prefixes that a daemon tracks, and the number of requests after which all
 * counts are halved.
 */
export const MAX_TRACKED_PREFIXES = 256;
export const PREFIX_HALVING_REQUESTS = 1_000;

/** Number of consecutive failures that eject an upstream. */
export const EJECT_CONSECUTIVE_FAILURES = 3;
/** Failure rate that ejects an upstream, given a minimum number of outcomes in the window. */
export const EJECT_FAILURE_RATE = 0.5;
export const EJECT_MIN_OUTCOMES = 10;
export const HEALTH_WINDOW_MS = 10_000;

/** Duration of the first ejection; each consecutive one doubles it, up to the maximum. */
export const EJECT_BASE_MS = 2_000;
export const EJECT_MAX_MS = 60_000;
/**
 * Maximum random extension of an ejection, as a fraction, so that daemons probe at different times.
 */
export const EJECT_JITTER = 0.5;

export const CONCURRENCY_MIN = 1;
export const CONCURRENCY_MAX = 512;
export const CONCURRENCY_INITIAL = 16;

/**
 * While capacity is free, a daemon may run this many standard deviations of its load more than it
 * runs now.
 */
export const BURST_DEVIATIONS = 3;
/**
 * Upper bound of these additional requests, as a fraction of the free capacity that the load
 * reports show.
 */
export const MAX_HEADROOM_SHARE = 0.5;

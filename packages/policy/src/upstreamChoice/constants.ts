/** Settings of upstream choice, health and adaptive concurrency; figures in POLICY-UPSTREAMS.md. */

/** An upstream that is new or came back reaches its full share of work after this time. */
export const SLOW_START_MS = 10_000;
/** Its share at the start. */
export const SLOW_START_MIN_WEIGHT = 0.1;

/** A prefix goes to its owners while their load is within this bound of the mean. */
export const AFFINITY_LOAD_BOUND = { factor: 1.1, slack: 1 } as const;
/** Affinity holds up to this utilisation of the pool; above it, balance is worth more. */
export const AFFINITY_MAX_UTILISATION = 0.6;
/** Owners of a prefix, in multiples of its share of the pool; and the fewest. */
export const AFFINITY_SPREAD = 2;
export const AFFINITY_MIN_OWNERS = 2;
/** Prefixes that a daemon counts, and after how many requests the counts are halved. */
export const MAX_COUNTED_PREFIXES = 256;
export const PREFIX_MEMORY_REQUESTS = 1_000;

/** Failures in a row that eject an upstream. */
export const EJECT_CONSECUTIVE_FAILURES = 3;
/** Or this share of failures in a window with at least so many outcomes. */
export const EJECT_FAILURE_RATE = 0.5;
export const EJECT_MIN_OUTCOMES = 10;
export const HEALTH_WINDOW_MS = 10_000;

/** The first ejection; each further one in a row doubles it up to the longest. */
export const EJECT_BASE_MS = 2_000;
export const EJECT_MAX_MS = 60_000;
/** Ejections are lengthened by up to this share, so that daemons probe at different times. */
export const EJECT_JITTER = 0.5;

export const CONCURRENCY_MIN = 1;
export const CONCURRENCY_MAX = 512;
export const CONCURRENCY_INITIAL = 16;

/** A daemon may run this many standard deviations of its load more than now, while there is room. */
export const BURST_DEVIATIONS = 3;
/** But at most this share of the room that the reports show. */
export const MAX_ROOM_SHARE = 0.5;

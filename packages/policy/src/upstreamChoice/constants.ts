/** Settings of upstream choice, health and adaptive concurrency; figures in POLICY-UPSTREAMS.md. */

/** An upstream that is new or came back reaches its full share of work after this time. */
export const SLOW_START_MS = 10_000;
/** Its share at the start. */
export const SLOW_START_MIN_WEIGHT = 0.1;

/** The owner of a prefix keeps it up to this multiple of the mean load. */
export const AFFINITY_LOAD_FACTOR = 1.25;
/** And this many requests more, so that an idle pool does not scatter a prefix. */
export const AFFINITY_LOAD_SLACK = 2;

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

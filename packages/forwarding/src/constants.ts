/** Time-outs and limits of the forward path, with their units and reasons. */

/**
 * A TCP connection inside a region takes a few ms; a slower one probably leads to a machine that is
 * down.
 */
export const CONNECT_TIMEOUT_MS = 300;

/** Ended connections that are remembered of each upstream. */
export const MAX_REMEMBERED_ENDS = 32;

/** Connections of an upstream that end within this time are taken to have one cause. */
export const END_TOGETHER_MS = 20;

/** The connections of a process that exits end within this time of one another. */
export const END_SETTLE_MS = 4;

/** An answer that goes on beyond this size is taken for one without end. */
export const MAX_ANSWER_BYTES = 67_108_864;

/**
 * Complete answers up to this size are buffered until their end, so that the request can be
 * repeated if an answer breaks off.
 */
export const MAX_HELD_ANSWER_BYTES = 262_144;

/** An event of a stream that goes on beyond this size is taken for one without end. */
export const MAX_EVENT_BYTES = 1_048_576;

/** What each stream may hold of an incomplete event whatever the others hold. */
export const OWN_EVENT_BYTES = 65_536;

/** What all streams of a daemon together may hold of incomplete events beyond that. */
export const MAX_SHARED_EVENT_BYTES = 16_777_216;

/**
 * A kept-alive connection may be closed while a request is being written. Upstreams announce their
 * idle time-out in whole seconds, if at all, and may close earlier; connections that have been idle
 * for longer than this are not reused.
 */
export const MAX_CONNECTION_IDLE_MS = 3_000;

/**
 * Idle connections that one daemon keeps to an upstream. An upstream resets connections beyond its
 * limit for all callers together, and a request on such a connection may have run. When every
 * request that must not be repeated used a new connection and all of them were kept, three of nine
 * daemons held a hundred connections to one small service.
 */
export const MAX_IDLE_CONNECTIONS = 3;

/**
 * Wait for an idempotent answer before another upstream is asked, as a multiple of the route's
 * target latency.
 */
export const SILENCE_TARGETS = 2.5;

/** Lower bound of that wait: a busy upstream takes a few times its usual time. */
export const MIN_SILENCE_MS = 400;

/** A started stream is resumed on another upstream after a silence of this many target gaps. */
export const STREAM_SILENCE_GAPS = 1.5;

/**
 * A stream that has not begun is requested from another upstream after this many target latencies.
 */
export const STREAM_START_TARGETS = 1.6;

/** Minimum time left for which another attempt is worth its cost. */
export const MIN_ATTEMPT_MS = 60;

/**
 * Lower bound of Retry-After: earlier, capacity is not yet free, and connecting takes part of the
 * time anyway.
 */
export const MIN_RETRY_AFTER_S = 0.05;

/**
 * Retry-After if no route or upstream is known yet: the configuration arrives within a second or
 * two.
 */
export const NOT_READY_RETRY_AFTER_S = 0.5;

/**
 * Retry-After if upstreams refused the request: about the time in which a busy engine frees slots.
 */
export const BUSY_RETRY_AFTER_S = 0.3;

/**
 * Retry-After if this VM is leaving: the caller can go to another VM at once on a new connection.
 */
export const LEAVING_RETRY_AFTER_S = 0.05;

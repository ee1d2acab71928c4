/** Times of lending places at brittle upstreams. */

/** How long a request for a place waits at an owner whose places are all lent. */
export const QUEUE_WAIT_MS = 40;

/** Wait for the reply of an owner, with the wait at the owner. */
export const REPLY_TIMEOUT_MS = 120;

/**
 * An owner that did not reply is not asked again for this long at first, as a datagram may have been lost,
 * and for twice as long each further time, up to the maximum.
 */
export const SILENT_OWNER_MS = 20;
export const MAX_SILENT_OWNER_MS = 640;

/** Returns are told so many times, with the next ones, as a datagram may be lost. */
export const RETURN_REPEATS = 3;

/** Between messages that name all places that a borrower holds. */
export const HELD_INTERVAL_MS = 250;

/** Places of a borrower that has not named them for this long are free again. */
export const HELD_EXPIRY_MS = 3_000;

/**
 * An owner without a free place is asked again after this, and later the more daemons it denied lately:
 * otherwise an overload is one of messages too.
 */
export const FULL_WAIT_MS = 20;
export const MAX_FULL_WAIT_MS = 200;

/** An owner that can't lend yet, or is none, is asked again after this. */
export const NOT_LENDING_WAIT_MS = 200;

/** Window of the rejections that an upstream bears. */
export const REJECTION_WINDOW_MS = 1_000;

/** After rejections one more place is lent each such time. */
export const REGROWTH_MS = 200;

/**
 * An upstream that has written something since has read the end of an abandoned request's connection by
 * this time later.
 */
export const ABANDONED_LINGER_MS = 200;

/** An abandoned request whose upstream is silent counts for this long. */
export const MAX_ABANDONED_MS = 3_000;

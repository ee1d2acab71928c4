/** Bounds and names of the operator API. */

/** Largest body that an operator may send. */
export const MAX_BODY_BYTES = 1024 * 1024;

/** How long an operator may take to send a body. */
export const BODY_TIMEOUT_MS = 10_000;

/** Time between the bookmarks of a watch; a client that hears none reconnects. */
export const BOOKMARK_INTERVAL_MS = 2_000;

/** Watches that one daemon serves at a time. */
export const MAX_WATCHES = 128;

/** Unsent bytes at which a slow watcher is cut off; it reconnects where it stopped. */
export const MAX_WATCH_BACKLOG_BYTES = 4 * 1024 * 1024;

/** Events of a time line that are returned when the reader names no limit. */
export const DEFAULT_TIMELINE_LIMIT = 10_000;

/** Period of a report that names none. */
export const DEFAULT_REPORT_PERIOD_MS = 60 * 60 * 1000;

/** Points of the plots of a report. */
export const REPORT_BUCKETS = 48;

/** Seconds after which a refused operator may try again. */
export const RETRY_AFTER_S = 1;

/** Makes a repeated write harmless. */
export const CLIENT_REQUEST_ID_HEADER = 'x-client-request-id';

export const MAX_CLIENT_REQUEST_ID_LENGTH = 128;

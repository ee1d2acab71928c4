/** Time limits of request runs. */

/**
 * An upstream that sent bytes on any connection within this time is alive; a silent request may
 * just be queued there.
 */
export const RECENT_ACTIVITY_MS = 700;

/** A request without an answer for this long has the path to its upstream checked. */
export const PATH_CHECK_MS = 400;

/** A request that received bytes within this time is not moved when the path counts as lost. */
export const MIN_LOST_SILENCE_MS = 500;

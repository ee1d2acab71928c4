/** Time limits of request runs. */

/**
 * An upstream that sent bytes on any connection within this time is alive; a silent request may
 * just be queued there.
 */
export const RECENT_ACTIVITY_MS = 700;

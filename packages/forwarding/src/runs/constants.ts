/** Times of runs. */

/** An upstream that sent bytes on any connection this recently is alive; a request may just wait there. */
export const RECENT_ACTIVITY_MS = 700;

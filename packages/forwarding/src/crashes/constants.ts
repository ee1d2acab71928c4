/** Times and limits of requests that are held back. */

/** Requests held back at a time; beyond it the oldest is let go. With this many something else is wrong. */
export const MAX_HELD = 256;

/** Ended lives remembered, so that each counts once; two daemons tell of an end within a second. */
export const MAX_ENDED_LIVES = 1_024;

/**
 * An answer speaks for its request this long. A deadly one is never answered; one that becomes deadly, by a
 * new version, is blamed a minute later.
 */
export const ANSWERED_FOR_MS = 60_000;

/** Answered requests remembered: a minute of a daemon at 60 requests a second, half a megabyte. */
export const MAX_ANSWERED = 4_096;

/**
 * Daemons that know a held request to be answered object after a wait, drawn up to this, unless another one
 * has: two hundred of them at once would tell each other the same.
 */
export const MAX_OBJECTION_MS = 400;

/** Requests answered within this are told to be cleared in one datagram. */
export const CLEARED_DELAY_MS = 150;

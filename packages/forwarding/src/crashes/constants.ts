/** Times and limits for requests that are held back because upstreams crashed while running them. */

/**
 * Maximum number of requests held back at a time; beyond it the oldest is released. So many holds
 * have another cause than single requests.
 */
export const MAX_HELD = 256;

/**
 * Crashed incarnations to remember, so that each counts once; two daemons report the same crash within a
 * second.
 */
export const MAX_ENDED_LIVES = 1_024;

/**
 * How long a complete answer clears its request of suspicion. A request that crashes its upstreams
 * is never answered; one that begins to do so with a new version is blamed a minute later.
 */
export const ANSWERED_FOR_MS = 60_000;

/** Answered requests to remember: those of a minute at 60 requests a second, half a megabyte. */
export const MAX_ANSWERED = 4_096;

/**
 * Daemons that know a held request to have been answered report this after a random delay up to
 * this, unless another daemon has done so. Otherwise two hundred of them would send the same report
 * at once.
 */
export const MAX_OBJECTION_MS = 400;

/** Requests answered within this time are reported as cleared in one datagram. */
export const CLEARED_DELAY_MS = 150;

/** Parts of prompts whose frequency is known, and the time in which it is halved. */
export const MAX_SIGHTED_PARTS = 4_096;
export const SIGHTING_HALF_LIFE_MS = 15_000;

/**
 * Crashes after which a part of most requests is held. It runs on every upstream that crashes, and
 * holding it refuses most requests.
 */
export const COMMON_PART_HOLD_THRESHOLD = 6;

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
 * For how long what was answered completely takes more crashes to be held. It may begin to crash upstreams
 * at any time, so that it is not excused.
 */
export const ANSWERED_FOR_MS = 60_000;

/**
 * Time since the first crash before what was answered is held: in it an answer that began after the crash
 * would have ended, and cleared it.
 */
export const ANSWERED_HOLD_DELAY_MS = 2_000;

/** Daemons tell the others that a suspect was answered if nobody has done so for this long. */
export const ANSWERED_TOLD_MS = 20_000;

/** Answered requests to remember: those of a minute at 60 requests a second, half a megabyte. */
export const MAX_ANSWERED = 4_096;

/**
 * Daemons that know a suspect to have been answered report this after a random delay up to this, unless
 * another daemon has done so. Otherwise two hundred of them would send the same report at once.
 */
export const MAX_OBJECTION_MS = 400;

/** Answers within this time are reported in one datagram. */
export const ANSWERED_DELAY_MS = 150;

/** Parts of prompts whose frequency is known, and the time in which it is halved. */
export const MAX_SIGHTED_PARTS = 4_096;
export const SIGHTING_HALF_LIFE_MS = 15_000;

/** Callers' attempts that must have been lost under a part; fewer are doubtful evidence. */
export const MIN_PART_ATTEMPTS = 3;

/**
 * Crashes after which a part is held that another cause may explain. A part of most requests runs on every
 * upstream that crashes, and holding it refuses most requests.
 */
export const DOUBTFUL_PART_HOLD_THRESHOLD = 6;
export const ANSWERED_COMMON_PART_HOLD_THRESHOLD = 8;

/** Times and limits of connections to upstreams through other daemons. */

/**
 * A direct connection that is not open by then gets a relayed one beside it. Connecting takes a few
 * ms within a region; longer delays are packet loss, a dead VM or a lost path.
 */
export const RELAY_DELAY_MS = 100;

/**
 * Time limit for connecting on behalf of another daemon. With `RELAY_DELAY_MS` it is the time limit of a
 * direct connection, so that an upstream that is gone takes no longer than before.
 */
export const RELAY_CONNECT_TIMEOUT_MS = 200;

/** The next daemon is asked beside the present one if that one has not answered by then. */
export const NEXT_RELAY_MS = 60;

/** Time limit for the answer of one daemon; its connection attempt, its own check and the way. */
export const RELAY_ANSWER_TIMEOUT_MS = 500;

/** Number of daemons that are asked for one connection. */
export const MAX_RELAYS_ASKED = 8;

/** How long a daemon that could not relay is asked last, and how many such daemons are asked. */
export const UNAVAILABLE_MS = 1_500;
export const MAX_UNAVAILABLE = 1;

/** Connections that a daemon relays at a time: for all others, and for one of them. */
export const MAX_RELAYED = 512;
export const MAX_RELAYED_PER_PEER = 256;

/** A relayed connection that carries nothing for this long is closed. */
export const RELAY_IDLE_MS = 60_000;

/** Time limit for the head of a request to relay a connection. */
export const RELAY_HEADER_TIMEOUT_MS = 1_000;

export const MAX_RELAY_HEADER_BYTES = 4_096;

/** Interval at which the direct path is tried again while it is lost for any upstream. */
export const RECHECK_MS = 1_000;

/** Paths checked when one is found lost; bounds the connections of a large fleet. */
export const MAX_CHECKED_PATHS = 64;

/** Upstreams probed to tell whether this daemon reaches any: a few at first, then more. */
export const FIRST_REFERENCES = 2;
export const MORE_REFERENCES = 6;

/** Between two checks of the direct path because of silent requests. */
export const SILENCE_CHECK_INTERVAL_MS = 1_000;

/** The path is checked only if no upstream of the service has sent anything for this long. */
export const MIN_SERVICE_SILENCE_MS = 400;

/** Names and times of snipectl. */

export const BINARY_NAME = 'snipectl';

/** Environment variables. */
export const TOKEN_VARIABLE = 'SNIPECTL_TOKEN';
export const URL_VARIABLE = 'SNIPECTL_URL';
export const CONTEXTS_VARIABLE = 'SNIPECTL_CONTEXTS';

/** Contexts file below the home directory. */
export const DEFAULT_CONTEXTS_PATH = '.config/snipectl/contexts.toml';

export const CLIENT_REQUEST_ID_HEADER = 'x-client-request-id';

/** How long one call to one daemon may take. */
export const CALL_TIMEOUT_MS = 10_000;

/** Pause before all daemons are tried a second time. */
export const RETRY_PAUSE_MS = 250;

/** A watch that hears neither change nor bookmark for so long reconnects. */
export const WATCH_SILENCE_MS = 8_000;

/** Pause before a watch tries the next daemon. */
export const WATCH_RETRY_MS = 300;

/** Time between polls of `--wait`. */
export const WAIT_POLL_MS = 200;

/** Time between redraws of `top` and `rollout status --follow`. */
export const REDRAW_MS = 1_000;

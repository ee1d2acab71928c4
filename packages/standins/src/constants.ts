/** Defaults of the stand-ins: sizes and rates as the platform states them. */

/** The client's name for calls made in-process without one. */
export const LOCAL_CLIENT = 'local';
/** A caller may name itself by this header; otherwise its IP address is its name. */
export const CLIENT_HEADER = 'x-client';
export const NOT_STARTED_HEADER = 'x-not-started';

export const MS_PER_SECOND = 1000;

export const DEFAULT_WRITES_PER_SECOND = 600;
export const DEFAULT_READS_PER_SECOND = 2000;
/** How many seconds' worth of calls a rate limit lets through in one burst. */
export const DEFAULT_BURST_SECONDS = 1;
export const MAX_SCAN_LIMIT = 1000;

export const DEFAULT_VM_LIST_LAG_MS = 3000;
export const DEFAULT_RATING_DELAY_MS = 2000;
export const DEFAULT_WEIGHT_READS_PER_SECOND = 2;
export const DEFAULT_WEIGHTS_SIZE_BYTES = 1_000_000_000;

/** How long an engine keeps an ended stream. */
export const DEFAULT_KEEP_STREAM_MS = 60_000;
/** An engine's load is published this often, so its age lies between 0 and this. */
export const DEFAULT_LOAD_PERIOD_MS = 300;
export const DEFAULT_CACHE_EVENT_DELAY_MS = 500;
export const MAX_CACHE_EVENTS = 20_000;
export const CHARACTERS_PER_TOKEN = 4;
/** The part of a prompt whose hash names its cached prefix. */
export const PREFIX_CHARACTERS = 256;
export const PREFIX_DIGEST_LENGTH = 16;
export const HIGHEST_PRIORITY = 9;

export const MAX_BODY_SIZE_BYTES = 64 * 1024 * 1024;

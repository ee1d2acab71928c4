/** The small models' sizes: one model's pool of engines in one data centre. */

export const ENGINE_SLOTS = 16;
export const ENGINE_MAX_QUEUED = 32;
/** Prefixes that an engine's cache holds, and the share of the prefill left with a hit. */
export const CACHE_PREFIXES = 24;
export const CACHED_PREFILL_SHARE = 0.2;
/** Decoding takes this much of its full-batch time in an empty batch. */
export const EMPTY_BATCH_SHARE = 0.6;
export const NETWORK_MS = 2;
/** First byte, and between chunks. */
export const SILENCE_TIMEOUT_MS = 3_000;

export const WARM_UP_MS = 10_000;

export const PREFIX_COUNT = 200;
export const LONG_PROMPT_SHARE = 0.3;
export const SHORT_PREFILL_MS = [60, 120] as const;
export const LONG_PREFILL_MS = [300, 700] as const;
export const DECODE_MEDIAN_MS = 2_000;
export const DECODE_SIGMA = 0.8;
export const DEADLINE_MS = [4_000, 20_000] as const;
export const IDEMPOTENT_SHARE = 0.8;

/** Refused callers come back at most so often. */
export const MAX_RETURNS = 2;
export const ADMISSION_MAX_QUEUED = 64;
/** Callers without a Retry-After come back after this time. */
export const PLAIN_RETURN_MS = 1_000;

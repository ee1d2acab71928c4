/** Bounds of the calls to the platform. */
export const DEFAULT_CALL_TIMEOUT_MS = 2_000;
export const MAX_CONNECTIONS = 8;
export const KEEP_ALIVE_MS = 20_000;
export const MS_PER_SECOND = 1_000;

/** Bounds and header names of the calls to upstreams; see docs/PROTOCOLS.md. */
export const MAX_CONNECTIONS_PER_UPSTREAM = 256;
export const KEEP_ALIVE_MS = 15_000;
export const CONTROL_CALL_TIMEOUT_MS = 1_500;
export const CONNECT_TIMEOUT_MS = 1_000;
/** An answer that goes on beyond this size is taken for one without end. */
export const MAX_ANSWER_BYTES = 67_108_864;
export const MS_PER_SECOND = 1_000;

export const STREAM_ID_HEADER = 'x-stream-id';
export const PRIORITY_HEADER = 'x-priority';
export const NOT_STARTED_HEADER = 'x-not-started';
export const REQUEST_KEY_HEADER = 'x-request-key';
export const FENCE_HEADER = 'x-fence';

/** The data of the event that ends a whole stream. */
export const DONE_DATA = '[DONE]';

/** How long an engine keeps a stream after its end; see docs/PROTOCOLS.md. */
export const STREAM_MEMORY_MS = 60_000;
/** How far the clocks of daemons and engines may be apart. */
export const MAX_CLOCK_SKEW_MS = 2_000;

/** Limits of what callers may make a process hold. The daemon's settings name its memory and descriptors. */

/** Memory of a process besides what callers make it hold: runtime, code, tables, garbage. */
export const PROCESS_BYTES = 110_000_000;

/** Memory for callers where a VM has too little for more. */
export const MIN_CALLER_BYTES = 24_000_000;

/** The part of the runtime's heap that the daemon itself needs. */
export const OWN_HEAP_BYTES = 80_000_000;

/** How the memory for callers is divided; connections include the requests on them without their bodies. */
export const MEMORY_SHARES = {
  connections: 0.45,
  smallBodies: 0.1,
  largeBodies: 0.25,
  heldAnswers: 0.08,
  unreadAnswers: 0.12,
} as const;

/** A connection with a request, its head and the connection to its upstream, besides bodies. */
export const CONNECTION_BYTES = 49_152;

/** Descriptors that the platform keeps for files. */
export const FILE_DESCRIPTORS = 200;

/** Share of the sockets for callers; upstreams have as many, and the daemon's own calls the rest. */
export const CALLER_SOCKET_SHARE = 0.4;

/** A request body above this size counts as large. */
export const SMALL_BODY_BYTES = 65_536;

/** Requests of one connection that are read before the first of them is answered. */
export const MAX_REQUESTS_AHEAD = 8;

/** Connections above the limit that the runtime accepts, so that others can be closed for them. */
export const ACCEPT_MARGIN = 16;

/** An idle connection is closed for a new one only after this time: it may have a request that is unread. */
export const MIN_WAITING_MS = 250;

/** Room for the request line beside the longest headers, in multiples of their limit. */
export const HEAD_PER_HEADER_LIMIT = 2;

/** Until a configuration names the limit. */
export const INITIAL_MAX_HEADER_BYTES = 16_384;
export const INITIAL_HEADER_TIMEOUT_MS = 3_000;
export const INITIAL_MAX_BODY_BYTES = 4_194_304;

/** After a refusal, bytes of the request that are still read, so that its caller can read the answer. */
export const LINGER_BYTES = 1_048_576;

/** Time after a refusal in which the caller can read it, before its connection is closed. */
export const LINGER_MS = 1_000;

/** Pieces of a body that are read before other work gets its turn; a chunk may be as small as a byte. */
export const MAX_PIECES_PER_TURN = 4_096;

/** Requests that may wait for their turn with such a body. */
export const MAX_WAITING_READERS = 4;

/** Connections to each of the ports for readiness and metrics. */
export const MAX_STATUS_CONNECTIONS = 64;
export const MAX_STATUS_HEAD_BYTES = 8_192;
export const STATUS_REQUEST_TIMEOUT_MS = 3_000;

/** Between two log lines about the same limit. */
export const REPORT_INTERVAL_MS = 1_000;

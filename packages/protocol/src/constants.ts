/** Names and bounds of the inner protocol. */
export const PEER_SECRET_HEADER = 'x-snipehaven-peer';
export const PEER_CALL_TIMEOUT_MS = 1_000;
export const PEER_CONNECTIONS = 2;
export const PEER_KEEP_ALIVE_MS = 30_000;
export const PEER_PATH = '/peer';
export const PEER_MAX_BODY_BYTES = 1_048_576;

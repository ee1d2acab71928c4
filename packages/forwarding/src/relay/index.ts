export { askRelay } from './askRelay.js';
export { RELAY_CONNECT_TIMEOUT_MS } from './constants.js';
export { PathMonitor } from './pathMonitor.js';
export { RelayClient } from './relayClient.js';
export { RelayRanking } from './relayRanking.js';
export { RelayServer, type RelayedUpstream } from './relayServer.js';
export type * from './types.js';

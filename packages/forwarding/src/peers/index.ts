export { LoadExchange } from './loadExchange.js';
export type { Peer } from './peerDirectory.js';
export { PeerLoads } from './peerLoads.js';
export type { UpstreamLoad } from './loadMessage.js';
export { NewsBoard, type NewsQuery } from './newsBoard.js';

export { LoadExchange, type Peer } from './loadExchange.js';
export { PeerLoads } from './peerLoads.js';
export type { UpstreamLoad } from './loadMessage.js';
export { NewsBoard, type NewsQuery } from './newsBoard.js';

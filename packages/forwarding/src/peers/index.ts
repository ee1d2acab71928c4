export { EMPTY_CRASH_MESSAGE, type CrashMessage } from './crashMessage.js';
export { createUdpPort, type DatagramPort } from './datagramPort.js';
export { PeerExchange } from './peerExchange.js';
export { PeerDirectory, type Peer } from './peerDirectory.js';
export { PeerLoads } from './peerLoads.js';
export {
  NO_ROLLOUT_COUNTS,
  addRolloutCounts,
  type SharedStatistics,
  type RolloutCounts,
  type ServiceRolloutCounts,
} from './sharedStatistics.js';
export type { UpstreamLoad } from './loadMessage.js';
export type { BadVersionMessage } from './badVersionMessage.js';
export type { BrittleNews } from './brittleMessage.js';
export type { LeavingNews } from './leavingMessage.js';
export type { RateLimitNews } from './rateLimitMessage.js';
export {
  ReaderRegistry,
  MAX_MESH_DAEMONS,
  type LatestReport,
  type ReportQuery,
} from './readerRegistry.js';

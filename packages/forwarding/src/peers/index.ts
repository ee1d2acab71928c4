export { NO_CRASH_NEWS, type CrashNews } from './crashMessage.js';
export { createUdpPort, type DatagramPort } from './datagramPort.js';
export { PeerExchange } from './peerExchange.js';
export { PeerDirectory, type Peer } from './peerDirectory.js';
export { PeerLoads } from './peerLoads.js';
export {
  NO_ROLLOUT_COUNTS,
  combineRolloutCounts,
  type Learned,
  type RolloutCounts,
  type ServiceRolloutCounts,
} from './learned.js';
export type { UpstreamLoad } from './loadMessage.js';
export type { BadVersionNews } from './verdictMessage.js';
export { NewsBoard, SMALL_FLEET, type BestNews, type NewsQuery } from './newsBoard.js';

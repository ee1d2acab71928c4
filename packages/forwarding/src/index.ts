/** Forwards requests to upstreams by host and path, byte for byte. */
export { ConfigurationHolder } from './configuration/configurationHolder.js';
export { Freshness } from './configuration/freshness.js';
export { StoreClock, readClocks } from './configuration/storeClock.js';
export { RouteTable } from './configuration/routeTable.js';
export * from './daemon/index.js';
export * from './edge/index.js';
export * from './errors.js';
export * from './crashes/index.js';
export {
  ConnectTimedOutError,
  openSocket,
  type ConnectCallback,
  type OpenSocket,
} from './exchange/index.js';
export * from './peers/index.js';
export * from './rollouts/index.js';
export * from './runs/index.js';
export * from './store/index.js';
export * from './upstreams/index.js';
export type * from './types.js';

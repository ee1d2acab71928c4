export type { ConnectionEnd, ConnectionEnding } from './connectionEnds.js';
export { ConnectionPool } from './connectionPool.js';
export { DirectConnector, classifyConnectError } from './directConnector.js';
export { Exchange } from './exchange.js';
export { isReset } from './isReset.js';
export type * from './types.js';
export type { UpstreamConnection } from './upstreamConnection.js';
export { openSocket, ConnectTimedOutError } from './openSocket.js';

export { ConnectionPool } from './connectionPool.js';
export { Exchange } from './exchange.js';
export type * from './types.js';
export { openSocket, type ConnectCallback } from './openSocket.js';

export { ForwardDaemon, type ForwardDaemonOptions } from './forwardDaemon.js';
export { runForwardDaemon } from './runForwardDaemon.js';
export type { StatusDocument } from './statusDocument.js';
export type * from './types.js';
export { createOperatorRetention, createUpstreamRetention } from './rowRetention.js';

export { ForwardDaemon } from './forwardDaemon.js';
export { runForwardDaemon } from './runForwardDaemon.js';
export type { StatusDocument } from './statusDocument.js';
export type * from './types.js';

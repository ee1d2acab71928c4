export { DONE_DATA } from './constants.js';
export * from './engineClient.js';
export * from './errors.js';
export * from './serviceClient.js';
export * from './types.js';
export * from './upstreamPools.js';
export { provesNotStarted } from './unknownStream.js';

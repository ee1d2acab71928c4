/** Which upstream takes a request, and what is known of the upstreams' health and room. */
export * from './affinity/prefixCounts.js';
export * from './assignOwnSlots.js';
export * from './chooseUpstream.js';
export * from './concurrency/adjustConcurrency.js';
export * from './estimateLoad.js';
export * from './getMaxRunning.js';
export * from './recordOutcome.js';
export * from './types.js';
export { getAffinityWeight, hashAffinityKey } from './affinity/affinityHash.js';

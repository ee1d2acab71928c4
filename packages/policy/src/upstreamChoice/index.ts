/** Choice of the upstream for a request, and tracking of the upstreams' health and capacity. */
export * from './affinity/prefixCounts.js';
export * from './assignOwnSlots.js';
export * from './chooseUpstream.js';
export * from './concurrency/adjustConcurrency.js';
export * from './estimateLoad.js';
export * from './getMaxRunning.js';
export * from './recordOutcome.js';
export * from './types.js';
export { getAffinityWeight, hashAffinityKey } from './affinity/affinityHash.js';

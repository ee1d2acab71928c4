/** Routing decisions as pure functions: plain readonly data in and out, no I/O and no timers. */
export * from './crashes/index.js';
export * from './evidence/index.js';
export * from './forward/index.js';
export * from './limits/index.js';
export * from './modelChoice/index.js';
export * from './retry/index.js';
export * from './rollout/index.js';
export * from './upstreamChoice/index.js';

export * from './assignRollout.js';
export * from './constants.js';
export * from './evaluateGuard.js';
export * from './pairCounts.js';
export * from './planGrants.js';
export * from './progress.js';
export * from './types.js';

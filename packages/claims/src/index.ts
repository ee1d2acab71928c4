export * from './claimCleaner.js';
export * from './constants.js';
export * from './errors.js';
export * from './tableClaimStore.js';
export * from './types.js';

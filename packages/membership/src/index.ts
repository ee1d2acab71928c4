export * from './constants.js';
export * from './errors.js';
export * from './membership.js';
export * from './types.js';
export * from './lease/tableLeaseKeeper.js';

/** Whether a failed attempt is tried again, and where. */
export * from './decideRetry.js';
export * from './retryBudget.js';
export * from './types.js';

/** Decides whether and where a failed attempt is retried. */
export * from './decideRetry.js';
export * from './retryBudget.js';
export * from './types.js';

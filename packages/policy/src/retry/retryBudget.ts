/**
 * A token bucket that each request credits, so that retries stay a fixed fraction of the requests.
 */
import { RETRY_BUDGET_INITIAL, RETRY_BUDGET_MAX, RETRY_BUDGET_SHARE } from './constants.js';
import type { RetryBudget } from './types.js';

export const createRetryBudget = (): RetryBudget => ({ tokens: RETRY_BUDGET_INITIAL });

/** Credits the budget for one admitted request. */
export const feedRetryBudget = ({ tokens }: RetryBudget): RetryBudget => ({
  tokens: Math.min(RETRY_BUDGET_MAX, tokens + RETRY_BUDGET_SHARE),
});

export const hasRetryLeft = ({ tokens }: RetryBudget): boolean => tokens >= 1;

/** Debits the budget by one retry. */
export const spendRetry = ({ tokens }: RetryBudget): RetryBudget => ({ tokens: tokens - 1 });

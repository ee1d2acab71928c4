/** A token bucket that is filled by requests, so that retries stay a fixed share of them. */
import { RETRY_BUDGET_INITIAL, RETRY_BUDGET_MAX, RETRY_BUDGET_SHARE } from './constants.js';
import type { RetryBudget } from './types.js';

/** A daemon's budget at its start. */
export const createRetryBudget = (): RetryBudget => ({ tokens: RETRY_BUDGET_INITIAL });

/** The budget after one more admitted request. */
export const feedRetryBudget = ({ tokens }: RetryBudget): RetryBudget => ({
  tokens: Math.min(RETRY_BUDGET_MAX, tokens + RETRY_BUDGET_SHARE),
});

/** Whether a retry is left. */
export const hasRetryLeft = ({ tokens }: RetryBudget): boolean => tokens >= 1;

/** The budget after one retry. */
export const spendRetry = ({ tokens }: RetryBudget): RetryBudget => ({ tokens: tokens - 1 });

/** Computes when a refused caller should retry. */
import { RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS, RETRY_DRAIN_FRACTION } from './constants.js';
import type { RetryAfterInput } from './types.js';

/** Assumed drain rate until the first request has completed. */
const MIN_DRAIN_PER_SECOND = 0.1;

/**
 * Returns the time in which the queue drains plus a random part. The random part is wide enough to
 * spread recently refused callers, so that they return at a rate that can be served beside the
 * regular requests. With a fixed delay they would all return at once, and refusals would come in
 * waves.
 */
export const getRetryAfterMs = (input: RetryAfterInput): number => {
  const drainPerSecond = Math.max(MIN_DRAIN_PER_SECOND, input.drainPerSecond);
  const drainMs = (input.queued * 1_000) / drainPerSecond;
  const spreadMs = (input.recentRefusals * 1_000) / (drainPerSecond * RETRY_DRAIN_FRACTION);
  const earliestMs = Math.min(RETRY_AFTER_MAX_MS / 2, Math.max(RETRY_AFTER_MIN_MS, drainMs));
  const widthMs = Math.min(RETRY_AFTER_MAX_MS - earliestMs, Math.max(earliestMs, spreadMs));
  return earliestMs + input.random.next() * widthMs;
};

/** When a refused caller should come back. */
import { RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS, RETURN_SHARE } from './constants.js';
import type { RetryAfterInput } from './types.js';

/** Assumed while nothing has drained yet. */
const MIN_DRAIN_PER_SECOND = 0.1;

/**
 * The time in which the queue drains, and a random part that spreads those who were refused with
 * this one: so wide that they come back at a rate the system can take beside its usual requests.
 * A fixed time would bring them all back at once, which one sees as refusals in waves.
 */
export const getRetryAfterMs = (input: RetryAfterInput): number => {
  const drainPerSecond = Math.max(MIN_DRAIN_PER_SECOND, input.drainPerSecond);
  const drainMs = (input.queued * 1_000) / drainPerSecond;
  const spreadMs = (input.recentRefusals * 1_000) / (drainPerSecond * RETURN_SHARE);
  const earliestMs = Math.min(RETRY_AFTER_MAX_MS / 2, Math.max(RETRY_AFTER_MIN_MS, drainMs));
  const widthMs = Math.min(RETRY_AFTER_MAX_MS - earliestMs, Math.max(earliestMs, spreadMs));
  return earliestMs + input.random.next() * widthMs;
};

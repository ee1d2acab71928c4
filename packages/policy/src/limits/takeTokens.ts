/**
 * A token bucket as pure functions. Used for request and token rates, and for spend in
 * micro-dollars per second.
 */
import type { TokenBucketLimit, TokenBucketState, TokenDecision } from './types.js';

export const createTokenBucket = (limit: TokenBucketLimit, nowMs: number): TokenBucketState => ({
  tokens: limit.burst,
  updatedAtMs: nowMs,
});

/**
 * Returns the bucket refilled up to `nowMs`. If the limit was lowered, the balance is capped at the
 * new burst.
 */
const refill = (
  { tokens, updatedAtMs }: TokenBucketState,
  limit: TokenBucketLimit,
  nowMs: number,
): TokenBucketState => {
  const elapsedMs = Math.max(0, nowMs - updatedAtMs);
  const grown = tokens + (elapsedMs * limit.ratePerSecond) / 1_000;
  return { tokens: Math.min(limit.burst, grown), updatedAtMs: Math.max(nowMs, updatedAtMs) };
};

const getWaitMs = (missing: number, { ratePerSecond }: TokenBucketLimit): number =>
  ratePerSecond > 0 ? (missing * 1_000) / ratePerSecond : Infinity;

/** Takes `amount` tokens if the bucket holds them, and none otherwise. */
export const takeTokens = (
  state: TokenBucketState,
  limit: TokenBucketLimit,
  nowMs: number,
  amount = 1,
): TokenDecision => {
  const refilled = refill(state, limit, nowMs);
  if (refilled.tokens >= amount) {
    const taken = { ...refilled, tokens: refilled.tokens - amount };
    return { state: taken, isAllowed: true, waitMs: 0 };
  }
  const waitMs = amount > limit.burst ? Infinity : getWaitMs(amount - refilled.tokens, limit);
  return { state: refilled, isAllowed: false, waitMs };
};

/**
 * Replaces a reservation by the actual cost. The balance turns negative if the request cost more
 * than it reserved.
 */
export const settleTokens = (
  state: TokenBucketState,
  reserved: number,
  actual: number,
): TokenBucketState => ({ ...state, tokens: state.tokens + reserved - actual });

/** Whether one more request fits under a concurrency limit or a share of one. */
export const hasConcurrencyLeft = (inUse: number, limit: number): boolean => inUse + 1 <= limit;

/** A token bucket as pure functions: rates, and spend as micro-dollars per second. */
import type { TokenBucketLimit, TokenBucketState, TokenDecision } from './types.js';

/** A full bucket. */
export const createTokenBucket = (limit: TokenBucketLimit, nowMs: number): TokenBucketState => ({
  tokens: limit.burst,
  updatedAtMs: nowMs,
});

/** The bucket at `nowMs`; a limit that has just been lowered cuts what was saved up. */
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

/** Takes `amount` tokens if the bucket has them; takes nothing otherwise. */
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

/** Corrects a reservation by what the request really cost; dearer ones leave a debt. */
export const settleTokens = (
  state: TokenBucketState,
  reserved: number,
  actual: number,
): TokenBucketState => ({ ...state, tokens: state.tokens + reserved - actual });

/** Whether one more request may run under a concurrency limit or a share of one. */
export const hasConcurrencyLeft = (inUse: number, limit: number): boolean => inUse + 1 <= limit;

/** What a pool can answer at most. */
import {
  DECODE_MEDIAN_MS,
  DECODE_SIGMA,
  ENGINE_SLOTS,
  LONG_PREFILL_MS,
  LONG_PROMPT_SHARE,
  SHORT_PREFILL_MS,
} from './constants.js';

const getMiddle = ([low, high]: readonly [number, number]): number => (low + high) / 2;

const getMeanServiceMs = (): number => {
  const longMs = LONG_PROMPT_SHARE * getMiddle(LONG_PREFILL_MS);
  const shortMs = (1 - LONG_PROMPT_SHARE) * getMiddle(SHORT_PREFILL_MS);
  return longMs + shortMs + DECODE_MEDIAN_MS * Math.exp(DECODE_SIGMA ** 2 / 2);
};

/** Answers per second with full batches and cold caches. */
export const getCapacityPerSecond = (engineCount: number): number =>
  (engineCount * ENGINE_SLOTS * 1_000) / getMeanServiceMs();

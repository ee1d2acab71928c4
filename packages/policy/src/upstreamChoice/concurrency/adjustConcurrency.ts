/**
 * The adaptive concurrency limit of one upstream. It counts the requests of all daemons: with more
 * daemons than slots at an engine, a limit on each daemon's own requests could not bound the sum.
 */
import { CONCURRENCY_INITIAL, CONCURRENCY_MAX, CONCURRENCY_MIN } from '../constants.js';
import type {
  ConcurrencyHandler,
  ConcurrencyRule,
  ConcurrencySample,
  ConcurrencyState,
} from '../types.js';
import { aimd } from './aimd.js';
import { gradient } from './gradient.js';
import { reported } from './reported.js';

const concurrencyRules: Readonly<Record<ConcurrencyRule, ConcurrencyHandler>> = {
  aimd,
  gradient,
  reported,
};

export const DEFAULT_CONCURRENCY_RULE: ConcurrencyRule = 'reported';

/** Creates the initial state. */
export const createConcurrency = (limit: number = CONCURRENCY_INITIAL): ConcurrencyState => ({
  limit,
  baseFirstTokenMs: 0,
  recentFirstTokenMs: 0,
  samples: 0,
});

/** Returns the state after one more sample. */
export const adjustConcurrency = (
  state: ConcurrencyState,
  sample: ConcurrencySample,
  rule: ConcurrencyRule = DEFAULT_CONCURRENCY_RULE,
): ConcurrencyState => {
  const adjusted = concurrencyRules[rule].adjust(state, sample);
  const limit = Math.min(CONCURRENCY_MAX, Math.max(CONCURRENCY_MIN, adjusted.limit));
  return { ...adjusted, limit };
};

/** Returns the limit as an integer, for `UpstreamView.maxConcurrency`. */
export const getMaxConcurrency = (state: ConcurrencyState): number => Math.floor(state.limit);

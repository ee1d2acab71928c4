/**
 * The adaptive limit of one upstream's requests in flight. It counts those of all daemons: with
 * more daemons than slots at an engine, no limit on a daemon's own requests would bound the sum.
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

/** The rule in force. */
export const DEFAULT_CONCURRENCY_RULE: ConcurrencyRule = 'reported';

/** A limit to start from. */
export const createConcurrency = (limit: number = CONCURRENCY_INITIAL): ConcurrencyState => ({
  limit,
  baseFirstTokenMs: 0,
  recentFirstTokenMs: 0,
  samples: 0,
});

/** The limit after one more sample. */
export const adjustConcurrency = (
  state: ConcurrencyState,
  sample: ConcurrencySample,
  rule: ConcurrencyRule = DEFAULT_CONCURRENCY_RULE,
): ConcurrencyState => {
  const adjusted = concurrencyRules[rule].adjust(state, sample);
  const limit = Math.min(CONCURRENCY_MAX, Math.max(CONCURRENCY_MIN, adjusted.limit));
  return { ...adjusted, limit };
};

/** The limit as a whole number, for `UpstreamView.maxConcurrency`. */
export const getMaxConcurrency = (state: ConcurrencyState): number => Math.floor(state.limit);

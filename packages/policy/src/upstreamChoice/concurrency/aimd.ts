/**
 * Additive increase, multiplicative decrease: grows with each answer, and shrinks by a constant
 * factor on a refusal.
 */
import type { ConcurrencyHandler } from '../types.js';

const DECREASE_FACTOR = 0.7;
/**
 * The limit only grows if at least this fraction of it was in use; otherwise idle upstreams would
 * increase it without evidence.
 */
const MIN_USAGE = 0.5;

export const aimd: ConcurrencyHandler = {
  adjust(state, sample) {
    if (sample.isRefused) {
      return { ...state, limit: state.limit * DECREASE_FACTOR };
    }
    const isInUse = sample.load >= state.limit * MIN_USAGE;
    return isInUse ? { ...state, limit: state.limit + 1 / state.limit } : state;
  },
};

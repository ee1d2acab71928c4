/** Additive increase, multiplicative decrease: grows while answers come, halves on a refusal. */
import type { ConcurrencyHandler } from '../types.js';

const DECREASE = 0.7;
/** An increase needs the limit to have been in use, or idle upstreams would grow it for nothing. */
const IN_USE = 0.5;

export const aimd: ConcurrencyHandler = {
  adjust(state, sample) {
    if (sample.isRefused) {
      return { ...state, limit: state.limit * DECREASE };
    }
    const isInUse = sample.load >= state.limit * IN_USE;
    return isInUse ? { ...state, limit: state.limit + 1 / state.limit } : state;
  },
};

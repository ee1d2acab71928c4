/**
 * Follows the ratio of the upstream's own best time to the first token to its recent one: a queue
 * at the engine shows in the ratio before the engine refuses anything.
 */
import type { ConcurrencyHandler, ConcurrencySample, ConcurrencyState } from '../types.js';

const DECREASE_ON_REFUSAL = 0.7;
/** Slowness up to this multiple of the base is taken for the usual spread. */
const TOLERANCE = 2;
const MIN_GRADIENT = 0.5;
const RECENT_WEIGHT = 0.1;
/** The base rises this much a sample, so that it forgets a time when the upstream was faster. */
const BASE_DRIFT = 1.002;
const SMOOTHING = 0.2;
/** Adjusted once in so many samples, for a change shows only in requests sent after it. */
const WINDOW_SAMPLES = 8;
const IN_USE = 0.5;

const followTimes = (state: ConcurrencyState, { firstTokenMs }: ConcurrencySample) => {
  const isFirst = state.baseFirstTokenMs === 0;
  const recent = isFirst
    ? firstTokenMs
    : state.recentFirstTokenMs + RECENT_WEIGHT * (firstTokenMs - state.recentFirstTokenMs);
  const base = isFirst ? firstTokenMs : Math.min(state.baseFirstTokenMs * BASE_DRIFT, firstTokenMs);
  return {
    ...state,
    baseFirstTokenMs: base,
    recentFirstTokenMs: recent,
    samples: state.samples + 1,
  };
};

const getGradient = ({ baseFirstTokenMs, recentFirstTokenMs }: ConcurrencyState): number =>
  Math.min(1, Math.max(MIN_GRADIENT, (TOLERANCE * baseFirstTokenMs) / recentFirstTokenMs));

export const gradient: ConcurrencyHandler = {
  adjust(state, sample) {
    if (sample.isRefused) {
      return { ...state, limit: state.limit * DECREASE_ON_REFUSAL };
    }
    const followed = followTimes(state, sample);
    if (followed.samples < WINDOW_SAMPLES) {
      return followed;
    }
    const isInUse = sample.load >= state.limit * IN_USE;
    const headroom = isInUse ? Math.sqrt(state.limit) : 0;
    const goal = state.limit * getGradient(followed) + headroom;
    return { ...followed, samples: 0, limit: state.limit + SMOOTHING * (goal - state.limit) };
  },
};

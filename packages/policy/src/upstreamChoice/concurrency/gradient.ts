/**
 * Follows the ratio of the upstream's best first-token latency to its recent one. The ratio reveals
 * a queue at the engine before the engine refuses requests.
 */
import type { ConcurrencyHandler, ConcurrencySample, ConcurrencyState } from '../types.js';

const DECREASE_ON_REFUSAL = 0.7;
/** Latency up to this multiple of the baseline counts as normal variation. */
const TOLERANCE = 2;
const MIN_GRADIENT = 0.5;
const RECENT_WEIGHT = 0.1;
/**
 * Growth of the baseline per sample, so that it forgets a period in which the upstream was faster.
 */
const BASE_DRIFT = 1.002;
const SMOOTHING = 0.2;
/** Number of samples per adjustment, because a change only affects requests sent after it. */
const WINDOW_SAMPLES = 8;
const MIN_USAGE = 0.5;

const updateLatencies = (state: ConcurrencyState, { firstTokenMs }: ConcurrencySample) => {
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
    const updated = updateLatencies(state, sample);
    if (updated.samples < WINDOW_SAMPLES) {
      return updated;
    }
    const isInUse = sample.load >= state.limit * MIN_USAGE;
    const headroom = isInUse ? Math.sqrt(state.limit) : 0;
    const targetLimit = state.limit * getGradient(updated) + headroom;
    return { ...updated, samples: 0, limit: state.limit + SMOOTHING * (targetLimit - state.limit) };
  },
};

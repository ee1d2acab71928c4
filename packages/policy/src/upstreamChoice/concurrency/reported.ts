/**
 * Derives the engine's batch size from its load reports: while requests wait at the engine, the
 * batch is full and its size is the limit. Latency and refusals show the same only after a queue
 * has built up at the engine, where the daemons' fair queueing has no effect and small teams wait
 * behind a flooding one. Without reports, as for plain services, latency decides.
 */
import type { ConcurrencyHandler } from '../types.js';
import { gradient } from './gradient.js';

const DECREASE_ON_REFUSAL = 0.9;
/** Smoothing factor with which the limit follows the size of a full batch. */
const BATCH_SMOOTHING = 0.3;

/**
 * Follows the reports. While no requests wait, the limit grows by one for each batch of requests as
 * large as the limit.
 */
export const reported: ConcurrencyHandler = {
  adjust(state, sample) {
    const { load, reportedRunning, reportedQueued, isRefused } = sample;
    if (reportedRunning === 0) {
      return gradient.adjust(state, sample);
    }
    if (isRefused) {
      return { ...state, limit: state.limit * DECREASE_ON_REFUSAL };
    }
    if (reportedQueued > 0) {
      return { ...state, limit: state.limit + BATCH_SMOOTHING * (reportedRunning - state.limit) };
    }
    const limit = Math.max(state.limit, reportedRunning);
    return { ...state, limit: load >= limit ? limit + 1 / limit : limit };
  },
};

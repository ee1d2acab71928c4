/**
 * Reads the engine's batch off its load reports: while requests wait at it, the batch is full, and
 * its size is the limit. Latency and refusals tell the same later, after a queue has built up that
 * no daemon's fair order reaches; one sees it as small teams waiting behind a flood at the engine.
 * Without reports (plain services) the times decide.
 */
import type { ConcurrencyHandler } from '../types.js';
import { gradient } from './gradient.js';

const DECREASE_ON_REFUSAL = 0.9;
/** How fast the limit follows the size of a full batch. */
const FOLLOW = 0.3;

/** Follows reports; grows by one in a round of requests while nothing waits. */
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
      return { ...state, limit: state.limit + FOLLOW * (reportedRunning - state.limit) };
    }
    const limit = Math.max(state.limit, reportedRunning);
    return { ...state, limit: load >= limit ? limit + 1 / limit : limit };
  },
};

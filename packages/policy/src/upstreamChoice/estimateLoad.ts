/** An upstream's load now, estimated from a report that is some time old. */
import { SLOW_START_MIN_WEIGHT, SLOW_START_MS } from './constants.js';
import type { UpstreamView } from './types.js';

/** Reported load and the own requests that the report cannot know. */
export const getKnownLoad = (upstream: UpstreamView): number =>
  Math.max(
    upstream.inFlight,
    upstream.reportedRunning + upstream.reportedQueued + upstream.sentSinceReport,
  );

/** The share of its usual work that an upstream may take: from the minimum up to 1. */
export const getSlowStartWeight = (upstream: UpstreamView, nowMs: number): number => {
  if (upstream.slowStartSinceMs === 0) {
    return 1;
  }
  const progress = (nowMs - upstream.slowStartSinceMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_MIN_WEIGHT, progress));
};

/** Known load made comparable between upstreams that are warm and those in slow start. */
export const getWeightedLoad = (upstream: UpstreamView, nowMs: number): number =>
  (getKnownLoad(upstream) + 1) / getSlowStartWeight(upstream, nowMs);

/** Estimates an upstream's current load from an outdated load report. */
import { SLOW_START_MIN_WEIGHT, SLOW_START_MS } from './constants.js';
import type { UpstreamView } from './types.js';

/** Reported load plus this daemon's requests that the report cannot include. */
export const getKnownLoad = (upstream: UpstreamView): number =>
  Math.max(
    upstream.inFlight,
    upstream.reportedRunning + upstream.reportedQueued + upstream.sentSinceReport,
  );

/** Relative share of requests for an upstream in slow start: rises from the minimum to 1. */
export const getSlowStartWeight = (upstream: UpstreamView, nowMs: number): number => {
  if (upstream.slowStartSinceMs === 0) {
    return 1;
  }
  const progress = (nowMs - upstream.slowStartSinceMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_MIN_WEIGHT, progress));
};

/**
 * Load divided by the slow-start weight, so that warm upstreams and those in slow start are
 * comparable.
 */
export const getWeightedLoad = (upstream: UpstreamView, nowMs: number): number =>
  (getKnownLoad(upstream) + 1) / getSlowStartWeight(upstream, nowMs);

/** Filters the upstreams that can take a request. */
import type { UpstreamChoiceInput, UpstreamView } from './types.js';

/**
 * The upstream's ejection has expired. It must succeed with a single request before it is
 * readmitted.
 */
export const needsProbe = (upstream: UpstreamView, nowMs: number): boolean =>
  upstream.ejectedUntilMs !== 0 && upstream.ejectedUntilMs <= nowMs;

const isEjected = (upstream: UpstreamView, nowMs: number): boolean =>
  upstream.ejectedUntilMs > nowMs;

const canTakeProbe = (upstream: UpstreamView, input: UpstreamChoiceInput): boolean =>
  input.canProbe !== false && upstream.inFlight === 0;

/**
 * Lists the upstreams that are not leaving, ejected or full, and that this request has not tried
 * yet.
 */
export const listCandidates = (input: UpstreamChoiceInput): readonly UpstreamView[] =>
  input.upstreams.filter((upstream) => {
    if (upstream.isLeaving || isEjected(upstream, input.nowMs)) {
      return false;
    }
    if (input.excludedIds?.includes(upstream.id)) {
      return false;
    }
    if (needsProbe(upstream, input.nowMs)) {
      return canTakeProbe(upstream, input);
    }
    return upstream.inFlight < upstream.maxConcurrency;
  });

/** Which upstreams may take a request at all. */
import type { UpstreamChoiceInput, UpstreamView } from './types.js';

/** The upstream was ejected and its time is over: it has to prove itself by one request. */
export const needsProbe = (upstream: UpstreamView, nowMs: number): boolean =>
  upstream.ejectedUntilMs !== 0 && upstream.ejectedUntilMs <= nowMs;

const isEjected = (upstream: UpstreamView, nowMs: number): boolean =>
  upstream.ejectedUntilMs > nowMs;

const canTakeProbe = (upstream: UpstreamView, input: UpstreamChoiceInput): boolean =>
  input.canProbe !== false && upstream.inFlight === 0;

/** Upstreams that are not leaving, not ejected, not full and not tried before. */
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

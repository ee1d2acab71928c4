/**
 * Estimates current loads from outdated reports. Since a report was taken, all daemons have sent
 * requests to the upstreams that looked idle in it. The rule adds the expected number of these
 * requests to the reported loads by water filling and draws an upstream in proportion to its
 * headroom below the water level. If every daemon took the least reported load, all would send to
 * the same few upstreams until the next report, and a queue would move from upstream to upstream at
 * the rate of the reports. Drawing by headroom makes the daemons' choices level the pool in sum,
 * without any daemon knowing what the others did.
 */
import type { Random } from '@snipehaven/common';
import { getKnownLoad, getSlowStartWeight } from '../estimateLoad.js';
import type { UpstreamChoiceHandler, UpstreamChoiceInput, UpstreamView } from '../types.js';

interface WeightedUpstream {
  readonly upstream: UpstreamView;
  readonly weight: number;
  readonly load: number;
}

const sumBy = (
  upstreams: readonly UpstreamView[],
  pick: (upstream: UpstreamView) => number,
): number => upstreams.reduce((sum, upstream) => sum + pick(upstream), 0);

/** Estimated number of requests that all daemons have sent to the candidates since the reports. */
const getExpectedSends = (
  candidates: readonly UpstreamView[],
  { upstreams, nowMs, daemonCount = 1, ownRequestsPerSecond = 0 }: UpstreamChoiceInput,
): number => {
  const ageMs = sumBy(candidates, ({ reportAtMs }) => Math.max(0, nowMs - reportAtMs));
  const seconds = ageMs / candidates.length / 1_000;
  const byRate = (ownRequestsPerSecond * seconds * candidates.length) / upstreams.length;
  const byCount = sumBy(candidates, ({ sentSinceReport }) => sentSinceReport);
  return Math.max(1, daemonCount * Math.max(byRate, byCount));
};

/** Returns the level at which the headroom below it, summed over the upstreams, equals `amount`. */
const findWaterLevel = (sorted: readonly WeightedUpstream[], amount: number): number => {
  let weight = 0;
  let filled = 0;
  let level = 0;
  for (const entry of sorted) {
    if (weight > 0 && entry.load * weight - filled >= amount) {
      break;
    }
    weight += entry.weight;
    filled += entry.load * entry.weight;
    level = (amount + filled) / weight;
  }
  return level;
};

const toWeightedUpstream = (upstream: UpstreamView, nowMs: number): WeightedUpstream => {
  const weight = getSlowStartWeight(upstream, nowMs);
  return { upstream, weight, load: getKnownLoad(upstream) / weight };
};

/** Draws an index with probability proportional to its weight. */
const drawIndex = (weights: readonly number[], random: Random): number => {
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return Math.max(0, index);
};

/** Water filling with the requests that all daemons are expected to have sent. */
export const interpretedLoad: UpstreamChoiceHandler = {
  choose(candidates, input) {
    const weighted = candidates
      .map((upstream) => toWeightedUpstream(upstream, input.nowMs))
      .sort((a, b) => a.load - b.load);
    const level = findWaterLevel(weighted, getExpectedSends(candidates, input));
    const headrooms = weighted.map((entry) => Math.max(0, level - entry.load) * entry.weight);
    return (weighted[drawIndex(headrooms, input.random)] as WeightedUpstream).upstream;
  },
};

/**
 * Reads old reports for what they say about now. Between a report and now all daemons have sent
 * to the upstreams that looked idle in it. The rule fills the reported loads up by the number of
 * requests expected since, as water fills a basin, and draws an upstream in proportion to the room
 * it had below the level. Had every daemon taken the least reported load instead, all would have
 * sent to the same few upstreams until the next report: one notices a queue that wanders from
 * upstream to upstream at the pace of the reports. Drawing by room makes the sum of all daemons'
 * choices level the pool, without any of them knowing what the others did.
 */
import type { Random } from '@snipehaven/common';
import { getKnownLoad, getSlowStartWeight } from '../estimateLoad.js';
import type { UpstreamChoiceHandler, UpstreamChoiceInput, UpstreamView } from '../types.js';

interface Basin {
  readonly upstream: UpstreamView;
  readonly weight: number;
  readonly load: number;
}

const sumOf = (
  upstreams: readonly UpstreamView[],
  pick: (upstream: UpstreamView) => number,
): number => upstreams.reduce((sum, upstream) => sum + pick(upstream), 0);

/** Requests that all daemons together have probably sent to the candidates since the reports. */
const getExpectedSends = (
  candidates: readonly UpstreamView[],
  { upstreams, nowMs, daemonCount = 1, ownRequestsPerSecond = 0 }: UpstreamChoiceInput,
): number => {
  const ageMs = sumOf(candidates, ({ reportAtMs }) => Math.max(0, nowMs - reportAtMs));
  const seconds = ageMs / candidates.length / 1_000;
  const byRate = (ownRequestsPerSecond * seconds * candidates.length) / upstreams.length;
  const byCount = sumOf(candidates, ({ sentSinceReport }) => sentSinceReport);
  return Math.max(1, daemonCount * Math.max(byRate, byCount));
};

/** The level at which the room below it, summed over the upstreams, holds `amount`. */
const findLevel = (sorted: readonly Basin[], amount: number): number => {
  let weight = 0;
  let filled = 0;
  let level = 0;
  for (const basin of sorted) {
    if (weight > 0 && basin.load * weight - filled >= amount) {
      break;
    }
    weight += basin.weight;
    filled += basin.load * basin.weight;
    level = (amount + filled) / weight;
  }
  return level;
};

const toBasin = (upstream: UpstreamView, nowMs: number): Basin => {
  const weight = getSlowStartWeight(upstream, nowMs);
  return { upstream, weight, load: getKnownLoad(upstream) / weight };
};

/** An index drawn in proportion to its weight. */
const drawIndex = (weights: readonly number[], random: Random): number => {
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return Math.max(0, index);
};

/** Water filling over the requests that all daemons are expected to have sent. */
export const interpretedLoad: UpstreamChoiceHandler = {
  choose(candidates, input) {
    const basins = candidates
      .map((upstream) => toBasin(upstream, input.nowMs))
      .sort((a, b) => a.load - b.load);
    const level = findLevel(basins, getExpectedSends(candidates, input));
    const rooms = basins.map((basin) => Math.max(0, level - basin.load) * basin.weight);
    return (basins[drawIndex(rooms, input.random)] as Basin).upstream;
  },
};

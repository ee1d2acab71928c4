/** Room and order of the upstreams that a prefix may go to. */
import { getKnownLoad, getWeightedLoad } from '../estimateLoad.js';
import type { UpstreamView } from '../types.js';
import { getAffinityWeight, hashAffinityKey } from './affinityHash.js';

/** How much more than the mean load an upstream may have. */
export interface LoadBound {
  readonly factor: number;
  /** So many requests more, so that an idle pool does not scatter a prefix. */
  readonly slack: number;
}

const getBound = (
  candidates: readonly UpstreamView[],
  { factor, slack }: LoadBound,
  nowMs: number,
): number => {
  const sum = candidates.reduce((total, upstream) => total + getWeightedLoad(upstream, nowMs), 0);
  return (sum / candidates.length) * factor + slack;
};

/** Upstreams whose load is neither far above the mean nor above their limit. */
export const listWithRoom = (
  candidates: readonly UpstreamView[],
  bound: LoadBound,
  nowMs: number,
): readonly UpstreamView[] => {
  const maxLoad = getBound(candidates, bound, nowMs);
  return candidates.filter((upstream) => {
    const load = getWeightedLoad(upstream, nowMs);
    return load <= maxLoad && load <= upstream.maxConcurrency;
  });
};

/** The first `count` upstreams of the key's rendezvous order. */
export const rankOwners = (
  key: string,
  candidates: readonly UpstreamView[],
  count: number,
): readonly UpstreamView[] => {
  const keyHash = hashAffinityKey(key);
  return candidates
    .map((upstream) => ({ upstream, weight: getAffinityWeight(keyHash, upstream.id) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .map(({ upstream }) => upstream);
};

/** Known load of the candidates in parts of their limits. */
export const getUtilisation = (candidates: readonly UpstreamView[]): number => {
  const load = candidates.reduce((sum, upstream) => sum + getKnownLoad(upstream), 0);
  const limit = candidates.reduce((sum, upstream) => sum + upstream.maxConcurrency, 0);
  return load / limit;
};

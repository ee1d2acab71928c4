/** Load bounds and rendezvous order of the upstreams that a prefix may be sent to. */
import { getKnownLoad, getWeightedLoad } from '../estimateLoad.js';
import type { UpstreamView } from '../types.js';
import { getAffinityWeight, hashAffinityKey } from './affinityHash.js';

/** Upper bound on an upstream's load relative to the mean load. */
export interface LoadBound {
  readonly factor: number;
  /** Number of requests added to the bound, so that the prefix is not scattered in an idle pool. */
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

/**
 * Lists the upstreams whose load exceeds neither the bound relative to the mean nor their own
 * limit.
 */
export const listWithinLoadBound = (
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

/** Returns the first `count` upstreams in the key's rendezvous order. */
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

/** Total load of the candidates as a fraction of their total limit. */
export const getUtilisation = (candidates: readonly UpstreamView[]): number => {
  const load = candidates.reduce((sum, upstream) => sum + getKnownLoad(upstream), 0);
  const limit = candidates.reduce((sum, upstream) => sum + upstream.maxConcurrency, 0);
  return load / limit;
};

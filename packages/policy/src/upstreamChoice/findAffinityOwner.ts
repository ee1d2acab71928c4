/**
 * Prefix affinity with bounded load: a key belongs to the first upstream in its rendezvous order
 * that is not overloaded, so that requests with a common prefix meet a warm cache, and one hot
 * prefix spills to the next upstream instead of queueing at the first.
 */
import { getAffinityWeight, hashAffinityKey } from './affinityHash.js';
import { AFFINITY_LOAD_FACTOR, AFFINITY_LOAD_SLACK } from './constants.js';
import { getWeightedLoad } from './estimateLoad.js';
import type { UpstreamChoiceInput, UpstreamView } from './types.js';

/** How many upstreams of the order may take a key; further ones would not have it cached. */
const MAX_OWNERS = 3;

const getLoadBound = (candidates: readonly UpstreamView[], nowMs: number): number => {
  const sum = candidates.reduce((total, upstream) => total + getWeightedLoad(upstream, nowMs), 0);
  return (sum / candidates.length) * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK;
};

const rankOwners = (key: string, candidates: readonly UpstreamView[]): readonly UpstreamView[] => {
  const keyHash = hashAffinityKey(key);
  return candidates
    .map((upstream) => ({ upstream, weight: getAffinityWeight(keyHash, upstream.id) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, MAX_OWNERS)
    .map(({ upstream }) => upstream);
};

/** The upstream that the request's session or prefix should go to, if one has room. */
export const findAffinityOwner = (
  candidates: readonly UpstreamView[],
  { sessionKey, prefixKey, nowMs }: UpstreamChoiceInput,
): UpstreamView | undefined => {
  const key = prefixKey ?? sessionKey;
  if (key === undefined) {
    return undefined;
  }
  const bound = getLoadBound(candidates, nowMs);
  const owners = rankOwners(key, candidates);
  const withRoom = owners.filter((owner) => getWeightedLoad(owner, nowMs) <= bound);
  return withRoom.find((owner) => owner.hasPrefixCached) ?? withRoom[0];
};

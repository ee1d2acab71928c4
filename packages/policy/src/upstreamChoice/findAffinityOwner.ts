/**
 * Prefix affinity with bounded load: a key belongs to the first upstream in its rendezvous order
 * that is not overloaded, so that requests with a common prefix meet a warm cache, and one hot
 * prefix spills to the next upstream instead of queueing at the first.
 */
import { rankByRendezvous } from '@snipehaven/common';
import { AFFINITY_LOAD_FACTOR, AFFINITY_LOAD_SLACK } from './constants.js';
import { getWeightedLoad } from './estimateLoad.js';
import type { UpstreamChoiceInput, UpstreamView } from './types.js';

/** How many upstreams of the order may take a key; further ones would not have it cached. */
const MAX_OWNERS = 3;

const getLoadBound = (candidates: readonly UpstreamView[], nowMs: number): number => {
  const sum = candidates.reduce((total, upstream) => total + getWeightedLoad(upstream, nowMs), 0);
  return (sum / candidates.length) * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK;
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
  const byId = new Map(candidates.map((upstream) => [upstream.id, upstream]));
  const owners = rankByRendezvous(key, [...byId.keys()])
    .slice(0, MAX_OWNERS)
    .flatMap((id) => byId.get(id) ?? []);
  const withRoom = owners.filter((owner) => getWeightedLoad(owner, nowMs) <= bound);
  return withRoom.find((owner) => owner.hasPrefixCached) ?? withRoom[0];
};

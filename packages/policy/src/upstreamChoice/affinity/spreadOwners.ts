/**
 * A prefix has as many owners as its share of the requests needs, at least two: the first ones in
 * its rendezvous order. All daemons agree on the owners without messages or load reports, so a hot
 * prefix is spread in time even if reports are late. Load reports then balance the load among the
 * owners. In a pool with little free capacity, the imbalance caused by affinity leads to queues
 * that cost more than the prefill, so the rule is disabled there. Late or missing cache events cost
 * one prefill at most.
 */
import {
  AFFINITY_LOAD_BOUND,
  AFFINITY_MAX_UTILISATION,
  AFFINITY_MIN_OWNERS,
  AFFINITY_SPREAD,
} from '../constants.js';
import { interpretedLoad } from '../rules/interpretedLoad.js';
import type { AffinityHandler, UpstreamView } from '../types.js';
import { getUtilisation, listWithinLoadBound, rankOwners } from './affinityLoad.js';

const preferWarm = (owners: readonly UpstreamView[]): readonly UpstreamView[] => {
  const warm = owners.filter((owner) => owner.hasPrefixCached);
  return warm.length > 0 ? warm : owners;
};

export const spreadOwners: AffinityHandler = {
  findOwner(key, candidates, input) {
    if (getUtilisation(candidates) > AFFINITY_MAX_UTILISATION) {
      return undefined;
    }
    const needed = Math.ceil((input.prefixShare ?? 0) * candidates.length * AFFINITY_SPREAD);
    const owners = rankOwners(key, candidates, Math.max(AFFINITY_MIN_OWNERS, needed));
    const withinBound = listWithinLoadBound(candidates, AFFINITY_LOAD_BOUND, input.nowMs);
    const usable = preferWarm(owners.filter((owner) => withinBound.includes(owner)));
    return usable.length > 0 ? interpretedLoad.choose(usable, input) : undefined;
  },
};

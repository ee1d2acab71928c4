/**
 * A prefix has as many owners as its share of the requests needs, at least two: the first ones of
 * its rendezvous order. All daemons agree on them without a message and without load reports, so
 * that a hot prefix does not depend on reports to be spread in time; reports then level the load
 * among the owners. In a pool with little room the imbalance that affinity brings makes queues that
 * cost more than the prefill, so it steps back there. Late or missing cache events cost a prefill at worst.
 */
import {
  AFFINITY_LOAD_BOUND,
  AFFINITY_MAX_UTILISATION,
  AFFINITY_MIN_OWNERS,
  AFFINITY_SPREAD,
} from '../constants.js';
import { interpretedLoad } from '../rules/interpretedLoad.js';
import type { AffinityHandler, UpstreamView } from '../types.js';
import { getUtilisation, listWithRoom, rankOwners } from './affinityLoad.js';

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
    const withRoom = listWithRoom(candidates, AFFINITY_LOAD_BOUND, input.nowMs);
    const open = preferWarm(owners.filter((owner) => withRoom.includes(owner)));
    return open.length > 0 ? interpretedLoad.choose(open, input) : undefined;
  },
};

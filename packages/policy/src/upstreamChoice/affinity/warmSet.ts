/**
 * Round 2: two choices among the upstreams that hold the prefix by the cache events and have room,
 * else the first owner with room. A hot prefix fills its owner's room, goes elsewhere for a while
 * and thereby becomes cached in as many places as it needs.
 */
import { twoChoices } from '../rules/twoChoices.js';
import type { AffinityHandler } from '../types.js';
import { listWithRoom, rankOwners } from './affinityLoad.js';

const OWNERS = 3;
const BOUND = { factor: 1.1, slack: 1 };

export const warmSet: AffinityHandler = {
  findOwner(key, candidates, input) {
    const withRoom = listWithRoom(candidates, BOUND, input.nowMs);
    const warm = withRoom.filter((upstream) => upstream.hasPrefixCached);
    if (warm.length > 0) {
      return twoChoices.choose(warm, input);
    }
    return rankOwners(key, candidates, OWNERS).find((owner) => withRoom.includes(owner));
  },
};

/**
 * Picks the less loaded of two random upstreams that have the prefix cached, according to the cache
 * events, and are within the load bound; otherwise the first owner within the bound. A hot prefix
 * fills its owner, overflows to other upstreams, and so gets cached on as many of them as it needs.
 */
import { twoChoices } from '../rules/twoChoices.js';
import type { AffinityHandler } from '../types.js';
import { listWithinLoadBound, rankOwners } from './affinityLoad.js';

const OWNERS = 3;
const BOUND = { factor: 1.1, slack: 1 };

export const warmSet: AffinityHandler = {
  findOwner(key, candidates, input) {
    const withinBound = listWithinLoadBound(candidates, BOUND, input.nowMs);
    const warm = withinBound.filter((upstream) => upstream.hasPrefixCached);
    if (warm.length > 0) {
      return twoChoices.choose(warm, input);
    }
    return rankOwners(key, candidates, OWNERS).find((owner) => withinBound.includes(owner));
  },
};

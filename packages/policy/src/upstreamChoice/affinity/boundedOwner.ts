/**
 * Picks the first of three owners whose load is within a bound, preferring those that have the
 * prefix cached.
 */
import { getWeightedLoad } from '../estimateLoad.js';
import type { AffinityHandler } from '../types.js';
import { rankOwners } from './affinityLoad.js';

const OWNERS = 3;
const LOAD_FACTOR = 1.25;
const LOAD_SLACK = 2;

export const boundedOwner: AffinityHandler = {
  findOwner(key, candidates, { nowMs }) {
    const sum = candidates.reduce((total, upstream) => total + getWeightedLoad(upstream, nowMs), 0);
    const bound = (sum / candidates.length) * LOAD_FACTOR + LOAD_SLACK;
    const owners = rankOwners(key, candidates, OWNERS);
    const withinBound = owners.filter((owner) => getWeightedLoad(owner, nowMs) <= bound);
    return withinBound.find((owner) => owner.hasPrefixCached) ?? withinBound[0];
  },
};

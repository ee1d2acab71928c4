/** Power of two choices: picks two random upstreams and returns the less loaded one. */
import { getWeightedLoad } from '../estimateLoad.js';
import type { UpstreamChoiceHandler, UpstreamView } from '../types.js';

/**
 * Uses the reported load and this daemon's own requests; does not account for the age of the
 * report.
 */
export const twoChoices: UpstreamChoiceHandler = {
  choose(candidates, { nowMs, random }) {
    const first = candidates[random.nextInt(candidates.length)] as UpstreamView;
    const second = candidates[random.nextInt(candidates.length)] as UpstreamView;
    return getWeightedLoad(second, nowMs) < getWeightedLoad(first, nowMs) ? second : first;
  },
};

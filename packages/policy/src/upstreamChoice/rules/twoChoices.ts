/** Two upstreams at random, and the one with the smaller known load of the two. */
import { getWeightedLoad } from '../estimateLoad.js';
import type { UpstreamChoiceHandler, UpstreamView } from '../types.js';

/** The first rule: reported load and own sends, no ageing. */
export const twoChoices: UpstreamChoiceHandler = {
  choose(candidates, { nowMs, random }) {
    const first = candidates[random.nextInt(candidates.length)] as UpstreamView;
    const second = candidates[random.nextInt(candidates.length)] as UpstreamView;
    return getWeightedLoad(second, nowMs) < getWeightedLoad(first, nowMs) ? second : first;
  },
};

/** Chooses among the upstreams at which this daemon has a free slot of its own. */
import { twoChoices } from './rules/twoChoices.js';
import type { UpstreamChoiceInput, UpstreamView } from './types.js';

const hasOwnSlotFree = ({ inFlight, ownSlots = 0 }: UpstreamView): boolean => inFlight < ownSlots;

/** Returns an upstream with a free slot, preferring those that have the request's prefix cached. */
export const chooseOwnSlot = (
  candidates: readonly UpstreamView[],
  input: UpstreamChoiceInput,
): UpstreamView | undefined => {
  const free = candidates.filter(hasOwnSlotFree);
  const warm = free.filter((upstream) => upstream.hasPrefixCached);
  const open = warm.length > 0 ? warm : free;
  return open.length > 0 ? twoChoices.choose(open, input) : undefined;
};

/** The choice among upstreams where this daemon has a slot of its own free. */
import { twoChoices } from './rules/twoChoices.js';
import type { UpstreamChoiceInput, UpstreamView } from './types.js';

const hasOwnSlotFree = ({ inFlight, ownSlots = 0 }: UpstreamView): boolean => inFlight < ownSlots;

/** An upstream with a free slot, one that holds the request's prefix before the rest. */
export const chooseOwnSlot = (
  candidates: readonly UpstreamView[],
  input: UpstreamChoiceInput,
): UpstreamView | undefined => {
  const free = candidates.filter(hasOwnSlotFree);
  const warm = free.filter((upstream) => upstream.hasPrefixCached);
  const open = warm.length > 0 ? warm : free;
  return open.length > 0 ? twoChoices.choose(open, input) : undefined;
};

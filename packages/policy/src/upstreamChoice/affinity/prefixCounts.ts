/**
 * Frequency of each prefix among a daemon's requests, with exponential decay and bounded memory.
 */
import type { PrefixCounts } from '../types.js';
import { MAX_TRACKED_PREFIXES, PREFIX_HALVING_REQUESTS } from '../constants.js';

/** Creates counts of no requests. */
export const createPrefixCounts = (): PrefixCounts => ({ counts: new Map(), total: 0 });

const halve = ({ counts, total }: PrefixCounts): PrefixCounts => ({
  counts: new Map([...counts].map(([key, count]) => [key, count / 2])),
  total: total / 2,
});

/** Evicts the rarer half when too many prefixes are tracked. A frequent prefix soon reappears. */
const evictRare = ({ counts, total }: PrefixCounts): PrefixCounts => {
  if (counts.size <= MAX_TRACKED_PREFIXES) {
    return { counts, total };
  }
  const frequent = [...counts].sort((a, b) => b[1] - a[1]).slice(0, MAX_TRACKED_PREFIXES / 2);
  return { counts: new Map(frequent), total };
};

/** Counts one more request. */
export const countPrefix = (state: PrefixCounts, key: string): PrefixCounts => {
  const decayed = state.total >= PREFIX_HALVING_REQUESTS ? halve(state) : state;
  const counts = new Map(decayed.counts);
  counts.set(key, (counts.get(key) ?? 0) + 1);
  return evictRare({ counts, total: decayed.total + 1 });
};

/** Returns the prefix's share of the requests, for `UpstreamChoiceInput.prefixShare`. */
export const getPrefixShare = ({ counts, total }: PrefixCounts, key: string): number =>
  total > 0 ? (counts.get(key) ?? 0) / total : 0;

/** How frequent each prefix is among a daemon's requests, with fading memory and bounded size. */
import type { PrefixCounts } from '../types.js';
import { MAX_COUNTED_PREFIXES, PREFIX_MEMORY_REQUESTS } from '../constants.js';

/** No requests yet. */
export const createPrefixCounts = (): PrefixCounts => ({ counts: new Map(), total: 0 });

const halve = ({ counts, total }: PrefixCounts): PrefixCounts => ({
  counts: new Map([...counts].map(([key, count]) => [key, count / 2])),
  total: total / 2,
});

/** Drops the rarer half once there are too many; a prefix that matters comes back at once. */
const bound = ({ counts, total }: PrefixCounts): PrefixCounts => {
  if (counts.size <= MAX_COUNTED_PREFIXES) {
    return { counts, total };
  }
  const frequent = [...counts].sort((a, b) => b[1] - a[1]).slice(0, MAX_COUNTED_PREFIXES / 2);
  return { counts: new Map(frequent), total };
};

/** The counts after one more request. */
export const countPrefix = (state: PrefixCounts, key: string): PrefixCounts => {
  const faded = state.total >= PREFIX_MEMORY_REQUESTS ? halve(state) : state;
  const counts = new Map(faded.counts);
  counts.set(key, (counts.get(key) ?? 0) + 1);
  return bound({ counts, total: faded.total + 1 });
};

/** The prefix's share of the requests, for `UpstreamChoiceInput.prefixShare`. */
export const getPrefixShare = ({ counts, total }: PrefixCounts, key: string): number =>
  total > 0 ? (counts.get(key) ?? 0) / total : 0;

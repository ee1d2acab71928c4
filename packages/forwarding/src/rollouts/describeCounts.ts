/** Converts the answer counts of a roll-out to plain objects for logging; JSON omits a Map's entries. */
import type { RolloutCounts } from '../peers/index.js';

export const describeCounts = ({ candidateAtFullShare, ...totals }: RolloutCounts) => ({
  ...totals,
  candidateAtFullShare: Object.fromEntries(candidateAtFullShare),
});

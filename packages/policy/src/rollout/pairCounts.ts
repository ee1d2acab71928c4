/**
 * Score differences of prompts that both versions answered. A hard prompt is hard for both, so the
 * difference varies less than two independent samples do. The test does not need an estimate of the
 * stable version: its null hypothesis is a mean difference of zero.
 */
import { getScoreBin, SCORE_BIN_COUNT } from '../evidence/index.js';

/** One bin for each difference between two score bins, from -19 to 19. */
export const PAIR_BIN_COUNT = 2 * SCORE_BIN_COUNT - 1;

const EQUAL_BIN = SCORE_BIN_COUNT - 1;

/** Pairs counted by one source: its part of a grow-only counter. */
export interface PairShare {
  readonly source: string;
  readonly counts: readonly number[];
}

/** Creates a histogram without counts. */
export const emptyPairCounts = (): number[] => new Array<number>(PAIR_BIN_COUNT).fill(0);

/** Returns the bin of a pair. In bins above the middle one, the candidate is worse. */
export const getPairBin = (stableScore: number, candidateScore: number): number =>
  EQUAL_BIN + getScoreBin(stableScore) - getScoreBin(candidateScore);

/** Returns how much worse the candidate is in a bin, from -1 to 1. */
export const getPairDifference = (bin: number): number => (bin - EQUAL_BIN) / SCORE_BIN_COUNT;

/** Counts one pair. Only the source itself may count under its name. */
export const addPair = (
  share: PairShare,
  stableScore: number,
  candidateScore: number,
): PairShare => {
  const pairBin = getPairBin(stableScore, candidateScore);
  return {
    ...share,
    counts: share.counts.map((count, bin) => (bin === pairBin ? count + 1 : count)),
  };
};

const joinShares = (a: PairShare, b: PairShare): PairShare => ({
  source: a.source,
  counts: a.counts.map((count, bin) => Math.max(count, b.counts[bin] ?? 0)),
});

const compareSources = (a: PairShare, b: PairShare): number =>
  a.source < b.source ? -1 : Number(a.source > b.source);

/** Merges the counts known to two daemons by taking the maximum for each source. */
export const mergePairShares = (
  a: readonly PairShare[],
  b: readonly PairShare[],
): readonly PairShare[] => {
  const bySource = new Map<string, PairShare>();
  [...a, ...b].forEach((share) => {
    const known = bySource.get(share.source);
    bySource.set(share.source, known ? joinShares(known, share) : share);
  });
  return [...bySource.values()].sort(compareSources);
};

export const foldPairShares = (shares: readonly PairShare[]): readonly number[] =>
  shares.reduce<readonly number[]>(
    (sum, share) => sum.map((count, bin) => count + (share.counts[bin] ?? 0)),
    emptyPairCounts(),
  );

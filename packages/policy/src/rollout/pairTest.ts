/** Sequential tests on the score differences of pairs, in both directions. */
import { getLogMeanExp } from '../evidence/index.js';
import { getPairDifference } from './pairCounts.js';

/**
 * Betting fractions against a candidate that is no worse. Each is below 1, so that the wealth stays
 * positive. Small fractions detect small differences, large ones detect large differences quickly.
 */
const WORSE_STAKES = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8];

/** Variance of the differences for which the bets on an equal candidate are optimised. */
const EXPECTED_VARIANCE = 0.06;
const STAKE_FACTORS = [0.7, 1.4];
const MAX_STAKE = 0.8;

/**
 * For an equal candidate, wealth grows fastest when the stake is the margin divided by the
 * variance.
 */
const listNotWorseStakes = (margin: number): readonly number[] =>
  STAKE_FACTORS.map((factor) => Math.min(MAX_STAKE, (factor * margin) / EXPECTED_VARIANCE));

const getLogWealth = (
  counts: readonly number[],
  stake: number,
  getGain: (difference: number) => number,
): number =>
  counts.reduce(
    (sum, count, bin) =>
      count === 0 ? sum : sum + count * Math.log1p(stake * getGain(getPairDifference(bin))),
    0,
  );

/** Log e-value against the hypothesis "the candidate is not worse on average". */
export const getPairWorseLogEValue = (counts: readonly number[]): number => {
  const getGain = (difference: number): number => difference;
  return getLogMeanExp(WORSE_STAKES.map((stake) => getLogWealth(counts, stake, getGain)));
};

/**
 * Log e-value against the hypothesis "the candidate is worse on average by at least the margin".
 */
export const getPairNotWorseLogEValue = (counts: readonly number[], margin: number): number => {
  const getGain = (difference: number): number => (margin - difference) / (1 + margin);
  return getLogMeanExp(
    listNotWorseStakes(margin).map((stake) => getLogWealth(counts, stake, getGain)),
  );
};

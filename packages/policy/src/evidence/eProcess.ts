/**
 * Sequential tests by betting. An e-value is the wealth of a gambler who starts with 1 and bets
 * against the null hypothesis. If the hypothesis holds, the probability that the wealth ever
 * reaches 1/alpha is at most alpha, however often it is checked. The wealth depends only on the
 * counts and not on their order, so it can be computed at any time from merged counters.
 */
import { getBinScore } from './scoreBins.js';

/** Observations of one kind of prompt, and their mean under the null hypothesis. */
export interface TestStratum {
  /** Histogram of the observed values, which range from 0 to 1. */
  readonly counts: readonly number[];
  /** Null hypothesis: the mean value is at most this. */
  readonly nullMean: number;
}

/**
 * Stakes, as the fraction of the wealth that a value of 0 loses; the resulting wealths are
 * averaged.
 */
export const STAKES = [0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 0.75];

/** Lower bound of the null mean, which keeps the stakes finite. */
const MIN_NULL_MEAN = 0.005;

const getStratumLogWealth = (stratum: TestStratum, stake: number): number => {
  const nullMean = Math.max(MIN_NULL_MEAN, stratum.nullMean);
  return stratum.counts.reduce((sum, count, bin) => {
    const gain = (stake * (getBinScore(bin) - nullMean)) / nullMean;
    return count === 0 ? sum : sum + count * Math.log1p(gain);
  }, 0);
};

/** Logarithm of the mean of exponentials, computed without overflow. */
export const getLogMeanExp = (values: readonly number[]): number => {
  const max = Math.max(...values);
  const sum = values.reduce((total, value) => total + Math.exp(value - max), 0);
  return max + Math.log(sum / values.length);
};

/** Log e-value against the hypothesis "no stratum's mean exceeds its null mean". */
export const getMeanIncreaseLogEValue = (strata: readonly TestStratum[]): number =>
  getLogMeanExp(
    STAKES.map((stake) =>
      strata.reduce((sum, stratum) => sum + getStratumLogWealth(stratum, stake), 0),
    ),
  );

/**
 * Sequential tests by betting. An e-value is the wealth of a gambler who starts with 1 and bets
 * against the null hypothesis; if that holds, the wealth ever reaches 1/alpha with a chance of at
 * most alpha, however often one looks. The wealth depends on the counts only, not on their order,
 * so it can be computed at any time from merged counters.
 */
import { getBinScore } from './scoreBins.js';

/** Observations of one kind of prompt, with the mean that the null hypothesis allows them. */
export interface TestStratum {
  /** Observed values in bins over 0 to 1. */
  readonly counts: readonly number[];
  /** The null hypothesis: the mean value is at most this. */
  readonly nullMean: number;
}

/** Stakes, as parts of the wealth that a value of 0 loses; their wealths are averaged. */
export const STAKES = [0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 0.75];

/** Keeps the stakes finite where the null hypothesis allows next to nothing. */
const MIN_NULL_MEAN = 0.005;

const getStratumLogWealth = (stratum: TestStratum, stake: number): number => {
  const nullMean = Math.max(MIN_NULL_MEAN, stratum.nullMean);
  return stratum.counts.reduce((sum, count, bin) => {
    const gain = (stake * (getBinScore(bin) - nullMean)) / nullMean;
    return count === 0 ? sum : sum + count * Math.log1p(gain);
  }, 0);
};

/** Logarithm of the mean of the exponentials, without overflow. */
export const getLogMeanExp = (values: readonly number[]): number => {
  const max = Math.max(...values);
  const sum = values.reduce((total, value) => total + Math.exp(value - max), 0);
  return max + Math.log(sum / values.length);
};

/** Log e-value against "in no stratum the mean is above its null mean". */
export const getMeanIncreaseLogEValue = (strata: readonly TestStratum[]): number =>
  getLogMeanExp(
    STAKES.map((stake) =>
      strata.reduce((sum, stratum) => sum + getStratumLogWealth(stratum, stake), 0),
    ),
  );

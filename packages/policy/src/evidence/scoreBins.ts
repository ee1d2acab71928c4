/** Score histograms: bins of equal width over 0 to 1. */
import { SCORE_BIN_COUNT } from './constants.js';

/** The bin that a score falls into; scores outside 0 to 1 are clamped. */
export const getScoreBin = (score: number): number => {
  const bin = Math.floor(score * SCORE_BIN_COUNT);
  return Math.min(SCORE_BIN_COUNT - 1, Math.max(0, bin));
};

/** The middle of a bin, which stands for all scores in it. */
export const getBinScore = (bin: number): number => (bin + 0.5) / SCORE_BIN_COUNT;

/** A histogram without any counts. */
export const emptyBins = (): number[] => new Array<number>(SCORE_BIN_COUNT).fill(0);

/** Sum of a histogram's counts. */
export const sumBins = (bins: readonly number[]): number => {
  let sum = 0;
  for (const count of bins) {
    sum += count;
  }
  return sum;
};

/** Mean score of a histogram; 0 for an empty one. */
export const getBinMean = (bins: readonly number[]): number => {
  const total = sumBins(bins);
  let scoreSum = 0;
  bins.forEach((count, bin) => {
    scoreSum += count * getBinScore(bin);
  });
  return total === 0 ? 0 : scoreSum / total;
};

/** Variance of a histogram's scores; 0 for an empty one. */
export const getBinVariance = (bins: readonly number[]): number => {
  const total = sumBins(bins);
  if (total === 0) {
    return 0;
  }
  const mean = getBinMean(bins);
  const square = (bin: number): number => (getBinScore(bin) - mean) ** 2;
  return bins.reduce((sum, count, bin) => sum + count * square(bin), 0) / total;
};

/** A histogram with each count multiplied. */
export const scaleBins = (bins: readonly number[], factor: number): readonly number[] =>
  bins.map((count) => count * factor);

/** The sum of two histograms. */
export const addBins = (a: readonly number[], b: readonly number[]): readonly number[] =>
  a.map((count, bin) => count + (b[bin] ?? 0));

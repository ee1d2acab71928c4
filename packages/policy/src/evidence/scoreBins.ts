/** Score histograms with bins of equal width from 0 to 1. */
import { SCORE_BIN_COUNT } from './constants.js';

/** Returns the bin of a score; scores outside 0 to 1 are clamped. */
export const getScoreBin = (score: number): number => {
  const bin = Math.floor(score * SCORE_BIN_COUNT);
  return Math.min(SCORE_BIN_COUNT - 1, Math.max(0, bin));
};

/** Returns the centre of a bin, which represents all scores in it. */
export const getBinScore = (bin: number): number => (bin + 0.5) / SCORE_BIN_COUNT;

/** Creates a histogram without counts. */
export const emptyBins = (): number[] => new Array<number>(SCORE_BIN_COUNT).fill(0);

export const sumBins = (bins: readonly number[]): number => {
  let sum = 0;
  for (const count of bins) {
    sum += count;
  }
  return sum;
};

/** Mean score of a histogram; 0 if it is empty. */
export const getBinMean = (bins: readonly number[]): number => {
  const total = sumBins(bins);
  let scoreSum = 0;
  bins.forEach((count, bin) => {
    scoreSum += count * getBinScore(bin);
  });
  return total === 0 ? 0 : scoreSum / total;
};

/** Variance of a histogram's scores; 0 if it is empty. */
export const getBinVariance = (bins: readonly number[]): number => {
  const total = sumBins(bins);
  if (total === 0) {
    return 0;
  }
  const mean = getBinMean(bins);
  const square = (bin: number): number => (getBinScore(bin) - mean) ** 2;
  return bins.reduce((sum, count, bin) => sum + count * square(bin), 0) / total;
};

/** Multiplies each count of a histogram. */
export const scaleBins = (bins: readonly number[], factor: number): readonly number[] =>
  bins.map((count) => count * factor);

/** Adds two histograms. */
export const addBins = (a: readonly number[], b: readonly number[]): readonly number[] =>
  a.map((count, bin) => count + (b[bin] ?? 0));

/** Draws from common distributions. */
import type { Random } from '@snipehaven/common';

/** Standard normal, by Box and Muller. */
export const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Exponential with the given mean. */
export const drawExponential = (mean: number, random: Random): number =>
  -mean * Math.log(1 - random.next());

/** Log-normal with the given median. */
export const drawLogNormal = (median: number, sigma: number, random: Random): number =>
  median * Math.exp(sigma * drawNormal(random));

const POISSON_NORMAL_ABOVE = 50;

/** Poisson, by a rounded normal for large means. */
export const drawPoisson = (mean: number, random: Random): number => {
  if (mean > POISSON_NORMAL_ABOVE) {
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * drawNormal(random)));
  }
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random.next(); product > limit; product *= random.next()) {
    count += 1;
  }
  return count;
};

/** An index with a chance proportional to its weight. */
export const drawIndex = (weights: readonly number[], random: Random): number => {
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return index < 0 ? weights.length - 1 : index;
};

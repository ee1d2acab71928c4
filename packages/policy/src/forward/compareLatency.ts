/**
 * Compares the answer times of two versions by a likelihood ratio: the new version's times follow
 * those of the present one, or some of them are several times slower. Both versions are observed
 * over the same period, so that load affects both alike.
 */
import { LATENCY_BINS, sumLatencies, type LatencyProfile } from './latencyProfile.js';

/**
 * How much slower or faster a good version may be altogether, in bins: an idle upstream answers
 * sooner than a busy one, and one whose caches are empty answers later.
 */
const GOOD_SHIFTS = [-3, -2, -1, 0, 1];

/** How much slower the affected answers of a bad version are than the others, in bins. */
const SLOWDOWNS = [3, 4, 5, 6];

/** How much slower a bad version may be altogether, in bins. */
const OVERALL_SLOWDOWNS = [2, ...SLOWDOWNS];

/** Shares of a bad version's answers that are affected. */
const SLOW_SHARES = [0.25, 0.5];

/** Affected answers are at least this much slower than those of the present version, in bins. */
const MIN_SLOW_SHIFT = 3;

/** Weight of the prior in answers, which keeps few answers from ruling any time out. */
const PRIOR_ANSWERS = 8;

/** Width of the prior in bins, and its centre: the expected time. */
const PRIOR_DEVIATION = 3;
const PRIOR_CENTRE = LATENCY_BINS / 2;

/** Least probability of a bin under any hypothesis; bounds the weight of a single answer. */
const MIN_PROBABILITY = 1e-4;

/** With fewer answers the present version's times are unknown. */
const MIN_PRESENT_ANSWERS = 5;

type Distribution = readonly number[];

const toDistribution = (weights: readonly number[]): Distribution => {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight) => weight / total);
};

const mix = (a: Distribution, b: Distribution, shareOfB: number): Distribution =>
  a.map((weight, bin) => (1 - shareOfB) * weight + shareOfB * (b[bin] ?? 0));

const UNIFORM = toDistribution(new Array<number>(LATENCY_BINS).fill(1));

const PRIOR = mix(
  toDistribution(
    UNIFORM.map((_, bin) => Math.exp(-0.5 * ((bin + 0.5 - PRIOR_CENTRE) / PRIOR_DEVIATION) ** 2)),
  ),
  UNIFORM,
  0.5,
);

/** Smooths over neighbouring bins, as few answers leave gaps. */
const estimateDistribution = (profile: LatencyProfile): Distribution =>
  toDistribution(
    profile.map((weight, bin) => {
      const neighbours = (profile[bin - 1] ?? 0) + (profile[bin + 1] ?? 0);
      return (weight + neighbours / 2) / 2 + PRIOR_ANSWERS * (PRIOR[bin] ?? 0);
    }),
  );

const slowDown = (distribution: Distribution, bins: number): Distribution => {
  const shifted = new Array<number>(LATENCY_BINS).fill(0);
  distribution.forEach((probability, bin) => {
    const target = Math.min(LATENCY_BINS - 1, Math.max(0, bin + bins));
    shifted[target] = (shifted[target] ?? 0) + probability;
  });
  return shifted;
};

const getLogLikelihood = (profile: LatencyProfile, distribution: Distribution): number =>
  profile.reduce(
    (sum, weight, bin) =>
      weight === 0
        ? sum
        : sum + weight * Math.log(Math.max(MIN_PROBABILITY, distribution[bin] ?? 0)),
    0,
  );

const listSlowVersions = (present: Distribution): readonly Distribution[] => {
  const partlySlow = GOOD_SHIFTS.flatMap((shift) =>
    SLOWDOWNS.filter((slowdown) => shift + slowdown >= MIN_SLOW_SHIFT).flatMap((slowdown) =>
      SLOW_SHARES.map((share) =>
        mix(slowDown(present, shift), slowDown(present, shift + slowdown), share),
      ),
    ),
  );
  return [...partlySlow, ...OVERALL_SLOWDOWNS.map((slowdown) => slowDown(present, slowdown))];
};

/**
 * Logarithm of the likelihood of the best fitting slow version over that of the best fitting good
 * one: positive if the answers speak for a slow version. Undefined if the present version's times
 * are unknown.
 */
export const getSlownessEvidence = (
  candidate: LatencyProfile,
  present: LatencyProfile,
): number | undefined => {
  if (sumLatencies(present) < MIN_PRESENT_ANSWERS) {
    return undefined;
  }
  const known = estimateDistribution(present);
  const fitBest = (distributions: readonly Distribution[]): number =>
    Math.max(...distributions.map((one) => getLogLikelihood(candidate, one)));
  return (
    fitBest(listSlowVersions(known)) - fitBest(GOOD_SHIFTS.map((shift) => slowDown(known, shift)))
  );
};

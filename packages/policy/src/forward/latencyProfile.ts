/**
 * Histogram of answer times relative to the time expected of each answer, in bins of half an octave.
 * Ratios make prompts of different lengths and upstreams of different loads comparable.
 */

/** Number of answers, or their weight, in each bin; always `LATENCY_BINS` entries. */
export type LatencyProfile = readonly number[];

export const LATENCY_BINS = 24;

/** Bins per factor of two. */
export const BINS_PER_OCTAVE = 2;

/** The lowest bin begins at an answer that took 2^-6 of the expected time. */
const LOWEST_OCTAVE = -6;

export const NO_LATENCIES: LatencyProfile = new Array<number>(LATENCY_BINS).fill(0);

/** The outermost bins hold all ratios beyond them. */
export const findLatencyBin = (tookMs: number, expectedMs: number): number => {
  const octaves = Math.log2(Math.max(1, tookMs) / Math.max(1, expectedMs));
  const bin = Math.floor((octaves - LOWEST_OCTAVE) * BINS_PER_OCTAVE);
  return Math.min(LATENCY_BINS - 1, Math.max(0, bin));
};

/** The lowest bin of answers that took at least this many times as long as expected. */
export const findBinOfRatio = (ratio: number): number => findLatencyBin(1_000 * ratio, 1_000);

export const addLatency = (profile: LatencyProfile, bin: number): LatencyProfile =>
  profile.with(bin, (profile[bin] ?? 0) + 1);

export const combineLatencies = (
  a: LatencyProfile,
  b: LatencyProfile,
  combine: (a: number, b: number) => number,
): LatencyProfile => a.map((weight, bin) => combine(weight, b[bin] ?? 0));

export const scaleLatencies = (profile: LatencyProfile, factor: number): LatencyProfile =>
  profile.map((weight) => weight * factor);

export const sumLatencies = (profile: LatencyProfile): number =>
  profile.reduce((sum, weight) => sum + weight, 0);

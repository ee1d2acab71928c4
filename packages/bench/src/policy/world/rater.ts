/** A model of the rater: late, with gaps, down at times. */
import type { Random } from '@snipehaven/common';

/** When the rater answers, and how late its list is. */
export interface RaterModel {
  readonly costMicroUsd: number;
  /** Time of a rating in line. */
  readonly inlineMs: number;
  /** Bounds of the time until a rating stands in the list. */
  readonly lagMs: readonly [number, number];
  /** Share of ratings that never come. */
  readonly gapShare: number;
  readonly outages: readonly (readonly [fromMs: number, toMs: number])[];
}

/** A rater without outages. */
export const defaultRater: RaterModel = {
  costMicroUsd: 60,
  inlineMs: 350,
  lagMs: [5_000, 60_000],
  gapShare: 0.05,
  outages: [],
};

/** Whether the rater answers at the moment. */
export const isRaterUp = (rater: RaterModel, nowMs: number): boolean =>
  !rater.outages.some(([fromMs, toMs]) => nowMs >= fromMs && nowMs < toMs);

/** When a rating asked for now can be read, or undefined if it never comes. */
export const drawRatingTime = (
  rater: RaterModel,
  nowMs: number,
  random: Random,
): number | undefined => {
  if (!isRaterUp(rater, nowMs) || random.next() < rater.gapShare) {
    return undefined;
  }
  const [least, most] = rater.lagMs;
  return nowMs + least + (most - least) * random.next();
};

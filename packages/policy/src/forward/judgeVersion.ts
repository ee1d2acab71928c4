/**
 * Whether a new version is bad, by what one daemon saw of it and of the old one at the same time. Any
 * daemon's verdict stops the roll-out everywhere, so it rests on few answers; what fails on both versions
 * alike is the fault of something else.
 */

export interface VersionCounts {
  readonly answers: number;
  /** Failures, and answers several times slower than the old version's. */
  readonly bad: number;
}

/** Three bad ones in ten answers come by chance about once in 8,000 times where 1% of answers fail. */
const MIN_BAD = 3;
const MIN_BAD_SHARE = 0.12;

/** The new version must fail this many times as often as the old one. */
const WORSE_FACTOR = 3;

/** Answers by which the old version's share is pulled towards none, where it has few. */
const PRIOR_ANSWERS = 10;

export const isVersionBad = (candidate: VersionCounts, present: VersionCounts): boolean => {
  const share = candidate.bad / Math.max(1, candidate.answers);
  const presentShare = present.bad / (present.answers + PRIOR_ANSWERS);
  return candidate.bad >= MIN_BAD && share >= MIN_BAD_SHARE && share > presentShare * WORSE_FACTOR;
};

/**
 * Judges a new version by what one daemon observed of it and of the current version in the same
 * period. Any daemon's verdict stops the roll-out everywhere, so few answers must suffice. Failures
 * that affect both versions alike have another cause.
 */

export interface VersionCounts {
  readonly answers: number;
  /** Failures, and answers that are several times slower than those of the current version. */
  readonly bad: number;
}

export const NO_ANSWERS: VersionCounts = { answers: 0, bad: 0 };

export const addVersionCounts = (a: VersionCounts, b: VersionCounts): VersionCounts => ({
  answers: a.answers + b.answers,
  bad: a.bad + b.bad,
});

/** With 1% of answers failing, three bad ones in ten occur by chance about once in 8,000 times. */
const MIN_BAD = 3;
const MIN_BAD_SHARE = 0.12;

/** The new version must fail this many times as often as the current one. */
const WORSE_FACTOR = 3;

/**
 * Pseudo-answers without failures that smooth the current version's share while it has few answers.
 */
const PRIOR_ANSWERS = 10;

/**
 * Bounds on the expected shares of bad answers under the two hypotheses of a good and a bad
 * version.
 */
const GOOD_VERSION_MIN_SHARE = 0.02;
const GOOD_VERSION_MAX_SHARE = 0.3;
const BAD_VERSION_MIN_SHARE = 0.25;

/** Likelihood ratio of a good to a bad version at which the test accepts the version as good. */
const MIN_LIKELIHOOD_RATIO = 50;

const getSmoothedBadShare = ({ answers, bad }: VersionCounts): number =>
  bad / (answers + PRIOR_ANSWERS);

export const isVersionBad = (candidate: VersionCounts, current: VersionCounts): boolean => {
  const share = candidate.bad / Math.max(1, candidate.answers);
  const currentShare = getSmoothedBadShare(current);
  return candidate.bad >= MIN_BAD && share >= MIN_BAD_SHARE && share > currentShare * WORSE_FACTOR;
};

/** Number of the new version's upstreams in one data centre, and the counts of their answers. */
export interface CandidateDataCentre {
  readonly upstreams: number;
  readonly counts: VersionCounts;
}

/**
 * Whether the answers prove that the new version is good, by a sequential probability ratio test,
 * which may be repeated after each answer.
 */
export const isVersionProven = (candidate: VersionCounts, current: VersionCounts): boolean => {
  const goodShare = Math.min(
    GOOD_VERSION_MAX_SHARE,
    Math.max(GOOD_VERSION_MIN_SHARE, getSmoothedBadShare(current)),
  );
  const badShare = Math.max(BAD_VERSION_MIN_SHARE, goodShare * WORSE_FACTOR);
  const logRatioPerGood = Math.log((1 - goodShare) / (1 - badShare));
  const logRatioPerBad = Math.log(goodShare / badShare);
  const goodAnswers = Math.max(0, candidate.answers - candidate.bad);
  return (
    goodAnswers * logRatioPerGood + candidate.bad * logRatioPerBad >= Math.log(MIN_LIKELIHOOD_RATIO)
  );
};

/**
 * Whether the new version is proven good in data centres that together hold at least half of its
 * upstreams. Failing and evacuated upstreams receive few requests, so the total counts could prove
 * the version by the answers of its few other upstreams.
 */
export const isVersionProvenAcrossDataCentres = (
  dataCentres: readonly CandidateDataCentre[],
  current: VersionCounts,
): boolean => {
  const sumUpstreams = (selected: readonly CandidateDataCentre[]): number =>
    selected.reduce((sum, { upstreams }) => sum + upstreams, 0);
  const total = sumUpstreams(dataCentres);
  const proven = sumUpstreams(dataCentres.filter(({ counts }) => isVersionProven(counts, current)));
  return total > 0 && proven * 2 >= total;
};

/** The baseline: a share of the requests by stages of fixed length, stopped by a fixed threshold. */
import { sumBins, type OutcomeCounts } from '@snipehaven/policy';
import { toCandidate, toStable, type RolloutEnd, type RolloutPolicy } from './rolloutPolicies.js';

const STAGE_PCTS = [1, 10, 50, 100];
const STAGE_TICKS = 1_800;
const CHECK_TICKS = 300;
/** With fewer, every other good candidate would be stopped by chance. */
const MIN_RATINGS = 200;
/** Failures and slow answers may be this much more frequent than with the stable version. */
const THRESHOLD = 0.05;
/** Scores in bins below this one are failures. */
const FIRST_GOOD_BIN = 12;

const getFailureShare = (strata: readonly OutcomeCounts[]): number => {
  const bad = strata.reduce(
    (sum, { scoreCounts }) => sum + sumBins(scoreCounts.slice(0, FIRST_GOOD_BIN)),
    0,
  );
  return bad / strata.reduce((sum, { scoreCounts }) => sum + sumBins(scoreCounts), 0);
};

const getSlowShare = (strata: readonly OutcomeCounts[]): number =>
  strata.reduce((sum, { slowCount }) => sum + slowCount, 0) /
  strata.reduce((sum, { answerCount }) => sum + answerCount, 0);

const isWorse = (candidate: readonly OutcomeCounts[], stable: readonly OutcomeCounts[]): boolean =>
  getFailureShare(candidate) > getFailureShare(stable) + THRESHOLD ||
  getSlowShare(candidate) > getSlowShare(stable) + THRESHOLD;

/** A plain percentage roll-out with a fixed threshold. */
export const plainPercentage: RolloutPolicy = {
  name: 'plainPercentage',
  createRun: () => {
    let end: RolloutEnd | undefined;
    let sharePct = STAGE_PCTS[0] ?? 0;
    return {
      advance: (view) => {
        const stage = Math.floor(view.tick / STAGE_TICKS);
        sharePct = STAGE_PCTS[Math.min(stage, STAGE_PCTS.length - 1)] ?? 0;
        const isChecked = view.tick % CHECK_TICKS === 0 && view.ratingCount >= MIN_RATINGS;
        if (isChecked && isWorse(view.candidate, view.stable)) {
          end = 'quarantined';
        } else if (stage >= STAGE_PCTS.length && end === undefined) {
          end = 'finished';
        }
      },
      route: (_daemon, nextRandom) => (nextRandom * 100 < sharePct ? toCandidate : toStable),
      getEnd: () => end,
    };
  },
};

/** The guard of a roll-out: a sequential test of the candidate against the stable version. */
import {
  getBinMean,
  getBinVariance,
  getLogMeanExp,
  getMeanIncreaseLogEValue,
  SCORE_BIN_COUNT,
  sumBins,
  type OutcomeCounts,
  type TestStratum,
} from '../evidence/index.js';
import { defaultRolloutSettings } from './constants.js';
import type {
  GuardInput,
  GuardResult,
  GuardSignal,
  GuardStratum,
  GuardVerdict,
  RolloutSettings,
} from './types.js';

/** Reads one signal's values out of the counts: 0 is good, 1 is bad. */
type SignalReader = (counts: OutcomeCounts) => readonly number[];

/** Bins of a value that is either 0 or 1. */
const toBinaryBins = (badCount: number, totalCount: number): readonly number[] => {
  const bins = new Array<number>(SCORE_BIN_COUNT).fill(0);
  bins[0] = Math.max(0, totalCount - badCount);
  bins[SCORE_BIN_COUNT - 1] = badCount;
  return bins;
};

const signalReaders: Readonly<Record<GuardSignal, SignalReader>> = {
  rating: (counts) => [...counts.scoreCounts].reverse(),
  error: (counts) => toBinaryBins(counts.errorCount, counts.answerCount),
  empty: (counts) => toBinaryBins(counts.emptyCount, counts.answerCount),
  cut: (counts) => toBinaryBins(counts.cutCount, counts.answerCount),
  slow: (counts) => toBinaryBins(counts.slowCount, counts.answerCount),
};

const signals = Object.keys(signalReaders) as readonly GuardSignal[];

const MAX_MEAN = 0.99;
const PSEUDO_COUNT = 1;
const PSEUDO_VARIANCE = 0.25;

/** The stable version's mean badness, raised for the uncertainty of its estimate. */
const getStableBound = (bins: readonly number[], z: number): number => {
  const count = sumBins(bins) + PSEUDO_COUNT;
  const variance = (getBinVariance(bins) * sumBins(bins) + PSEUDO_VARIANCE * PSEUDO_COUNT) / count;
  return Math.min(MAX_MEAN, getBinMean(bins) + z * Math.sqrt(variance / count));
};

const getSignalLogEValue = (
  read: SignalReader,
  strata: readonly GuardStratum[],
  settings: RolloutSettings,
): number =>
  getMeanIncreaseLogEValue(
    strata.map((stratum) => ({
      counts: read(stratum.candidate),
      nullMean: getStableBound(read(stratum.stable), settings.stableBoundZ),
    })),
  );

const createAdvanceStratum = (
  stratum: GuardStratum,
  margin: number,
  settings: RolloutSettings,
): TestStratum => {
  const stableBadness = signalReaders.rating(stratum.stable);
  const worst = getStableBound(stableBadness, -settings.stableBoundZ) + margin;
  return { counts: stratum.candidate.scoreCounts, nullMean: 1 - Math.max(0, worst) };
};

const getAdvanceLogEValue = (input: GuardInput, settings: RolloutSettings): number => {
  const margin = input.definition.maxFailureIncreasePct / 100;
  return getMeanIncreaseLogEValue(
    input.strata.map((stratum) => createAdvanceStratum(stratum, margin, settings)),
  );
};

const countRatings = (strata: readonly GuardStratum[]): number =>
  strata.reduce((sum, stratum) => sum + sumBins(stratum.candidate.scoreCounts), 0);

const decide = (
  input: GuardInput,
  settings: RolloutSettings,
  logEValue: number,
  advanceLogEValue: number,
  ratingCount: number,
): GuardVerdict => {
  if (logEValue >= Math.log(1 / settings.quarantineAlpha)) {
    return 'quarantine';
  }
  const stage = input.definition.stages[input.progress.stage];
  const ratedInStage = ratingCount - input.progress.ratingsAtStageStart;
  const hasEnough = stage !== undefined && ratedInStage >= stage.minRatings;
  const isAsGood = advanceLogEValue >= Math.log(1 / settings.advanceAlpha);
  return hasEnough && isAsGood && logEValue <= 0 ? 'advance' : 'continue';
};

/** Evaluates the candidate. The result depends on counts only; it may be asked as often as wanted. */
export const evaluateGuard = (input: GuardInput): GuardResult => {
  const settings = input.settings ?? defaultRolloutSettings;
  const logEValues = Object.fromEntries(
    signals.map((signal) => [
      signal,
      getSignalLogEValue(signalReaders[signal], input.strata, settings),
    ]),
  ) as Record<GuardSignal, number>;
  const logEValue = getLogMeanExp(Object.values(logEValues));
  const advanceLogEValue = getAdvanceLogEValue(input, settings);
  const ratingCount = countRatings(input.strata);
  return {
    verdict: decide(input, settings, logEValue, advanceLogEValue, ratingCount),
    logEValues,
    logEValue,
    advanceLogEValue,
    strongestSignal: signals.reduce((a, b) => (logEValues[b] > logEValues[a] ? b : a)),
    ratingCount,
  };
};

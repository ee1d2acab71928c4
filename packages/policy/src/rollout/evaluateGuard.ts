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
import { getPairNotWorseLogEValue, getPairWorseLogEValue } from './pairTest.js';
import type {
  GuardInput,
  GuardResult,
  GuardSignal,
  GuardStratum,
  GuardVerdict,
  RolloutSettings,
} from './types.js';

/** Signals that compare independent samples of both versions. */
type SampleSignal = Exclude<GuardSignal, 'pair'>;

/** Reads the histogram of one signal from the counts, where 0 is good and 1 is bad. */
type SignalReader = (counts: OutcomeCounts) => readonly number[];

/** Histogram of a binary value. */
const toBinaryBins = (badCount: number, totalCount: number): readonly number[] => {
  const bins = new Array<number>(SCORE_BIN_COUNT).fill(0);
  bins[0] = Math.max(0, totalCount - badCount);
  bins[SCORE_BIN_COUNT - 1] = badCount;
  return bins;
};

const signalReaders: Readonly<Record<SampleSignal, SignalReader>> = {
  rating: (counts) => [...counts.scoreCounts].reverse(),
  error: (counts) => toBinaryBins(counts.errorCount, counts.answerCount),
  empty: (counts) => toBinaryBins(counts.emptyCount, counts.answerCount),
  cut: (counts) => toBinaryBins(counts.cutCount, counts.answerCount),
  slow: (counts) => toBinaryBins(counts.slowCount, counts.answerCount),
};

const sampleSignals = Object.keys(signalReaders) as readonly SampleSignal[];

/**
 * Maximum log e-value at which a stage may advance. Good versions reach this weak evidence of a
 * regression too.
 */
const MAX_ADVANCE_LOG_E_VALUE = Math.log(3);

const MAX_MEAN = 0.99;
const PSEUDO_COUNT = 1;
const PSEUDO_VARIANCE = 0.25;

/** Upper bound of the stable version's mean badness: the estimate plus `z` standard errors. */
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

const getMargin = (input: GuardInput): number => input.definition.maxFailureIncreasePct / 100;

const getAdvanceLogEValue = (input: GuardInput, settings: RolloutSettings): number => {
  const margin = getMargin(input);
  return getMeanIncreaseLogEValue(
    input.strata.map((stratum) => createAdvanceStratum(stratum, margin, settings)),
  );
};

const countRatings = (strata: readonly GuardStratum[]): number =>
  strata.reduce((sum, stratum) => sum + sumBins(stratum.candidate.scoreCounts), 0);

const getLogEValues = (
  input: GuardInput,
  settings: RolloutSettings,
): Readonly<Record<GuardSignal, number>> => {
  const samples = sampleSignals.map((signal) => [
    signal,
    getSignalLogEValue(signalReaders[signal], input.strata, settings),
  ]);
  return {
    ...(Object.fromEntries(samples) as Record<SampleSignal, number>),
    pair: getPairWorseLogEValue(input.pairCounts ?? []),
  };
};

/** The evidence that decides whether to advance. */
interface AdvanceEvidence {
  readonly logEValue: number;
  readonly advanceLogEValue: number;
  readonly ratingCount: number;
  readonly pairCount: number;
}

/**
 * While callers are served, enough pairs exist only if the shadow phase ended by the result of the
 * paired test.
 */
const hasPassedShadow = (evidence: AdvanceEvidence, settings: RolloutSettings): boolean =>
  evidence.pairCount >= settings.minShadowPairs;

const canLeaveShadow = (evidence: AdvanceEvidence, settings: RolloutSettings): boolean =>
  evidence.pairCount >= settings.minShadowPairs &&
  evidence.advanceLogEValue >= Math.log(1 / settings.shadowAlpha);

const canLeaveStage = (
  input: GuardInput,
  evidence: AdvanceEvidence,
  settings: RolloutSettings,
): boolean => {
  const stage = input.definition.stages[input.progress.stage];
  const ratedInStage = evidence.ratingCount - input.progress.ratingsAtStageStart;
  return (
    stage !== undefined &&
    ratedInStage >= stage.minRatings &&
    (hasPassedShadow(evidence, settings) ||
      evidence.advanceLogEValue >= Math.log(1 / settings.advanceAlpha))
  );
};

const decide = (
  input: GuardInput,
  evidence: AdvanceEvidence,
  settings: RolloutSettings,
): GuardVerdict => {
  if (evidence.logEValue >= Math.log(1 / settings.quarantineAlpha)) {
    return 'quarantine';
  }
  const canLeave =
    input.progress.phase === 'shadow'
      ? canLeaveShadow(evidence, settings)
      : canLeaveStage(input, evidence, settings);
  return canLeave && evidence.logEValue <= MAX_ADVANCE_LOG_E_VALUE ? 'advance' : 'continue';
};

const getStrongestSignal = (logEValues: Readonly<Record<GuardSignal, number>>): GuardSignal =>
  (Object.keys(logEValues) as GuardSignal[]).reduce((a, b) =>
    logEValues[b] > logEValues[a] ? b : a,
  );

/**
 * In the shadow phase only the paired test counts; once callers are served, the ratings of
 * independent samples do.
 */
const getAdvanceEvidence = (
  input: GuardInput,
  settings: RolloutSettings,
  logEValue: number,
): AdvanceEvidence => {
  const pairCounts = input.pairCounts ?? [];
  const byPairs = getPairNotWorseLogEValue(pairCounts, getMargin(input));
  const bySamples = getAdvanceLogEValue(input, settings);
  return {
    logEValue,
    advanceLogEValue: input.progress.phase === 'shadow' ? byPairs : bySamples,
    ratingCount: countRatings(input.strata),
    pairCount: sumBins(pairCounts),
  };
};

/**
 * Evaluates the candidate. The result depends only on the counts, so the guard may run at any time
 * and any number of times.
 */
export const evaluateGuard = (input: GuardInput): GuardResult => {
  const settings = input.settings ?? defaultRolloutSettings;
  const logEValues = getLogEValues(input, settings);
  const logEValue = getLogMeanExp(Object.values(logEValues));
  const evidence = getAdvanceEvidence(input, settings, logEValue);
  return {
    ...evidence,
    verdict: decide(input, evidence, settings),
    logEValues,
    strongestSignal: getStrongestSignal(logEValues),
  };
};

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

/** The signals that compare separate samples of both versions. */
type SampleSignal = Exclude<GuardSignal, 'pair'>;

/** Reads one signal's values out of the counts: 0 is good, 1 is bad. */
type SignalReader = (counts: OutcomeCounts) => readonly number[];

/** Bins of a value that is either 0 or 1. */
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

/** Log e-value up to which a stage may be left: a weak sign of trouble, seen in good versions too. */
const MAX_SUSPICION = Math.log(3);

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

/** What an advance depends on. */
interface AdvanceEvidence {
  readonly logEValue: number;
  readonly advanceLogEValue: number;
  readonly ratingCount: number;
  readonly pairCount: number;
}

/** While callers are served, pairs are there only if the shadow phase was left by their verdict. */
const hasPassedShadow = (evidence: AdvanceEvidence, settings: RolloutSettings): boolean =>
  evidence.pairCount >= settings.minShadowPairs;

const mayLeaveShadow = (evidence: AdvanceEvidence, settings: RolloutSettings): boolean =>
  evidence.pairCount >= settings.minShadowPairs &&
  evidence.advanceLogEValue >= Math.log(1 / settings.shadowAlpha);

const mayLeaveStage = (
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
  const mayLeave =
    input.progress.phase === 'shadow'
      ? mayLeaveShadow(evidence, settings)
      : mayLeaveStage(input, evidence, settings);
  return mayLeave && evidence.logEValue <= MAX_SUSPICION ? 'advance' : 'continue';
};

const getStrongestSignal = (logEValues: Readonly<Record<GuardSignal, number>>): GuardSignal =>
  (Object.keys(logEValues) as GuardSignal[]).reduce((a, b) =>
    logEValues[b] > logEValues[a] ? b : a,
  );

/** In the shadow the pairs speak; once callers are served, the ratings of separate samples too. */
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

/** Evaluates the candidate. The result depends on counts only; it may be asked as often as wanted. */
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

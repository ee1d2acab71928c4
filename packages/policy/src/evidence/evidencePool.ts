/**
 * Hierarchical pooling: a team's own ratings of a version for a task are supplemented by those of
 * all teams for the task, then by those of the version for all tasks, and then by the operators'
 * prior.
 */
import { TASK_POOL_WEIGHT, VERSION_POOL_WEIGHT } from './constants.js';
import { addBins, emptyBins, getBinMean, scaleBins, sumBins } from './scoreBins.js';
import type { PriorQuality, QualityEvidence } from './types.js';

/** Decayed score histograms at the levels of the hierarchy; each one contains the previous one. */
export interface PooledScores {
  /** Ratings of this team, task and version. */
  readonly ownScores: readonly number[];
  /** Ratings of all teams for the task and version. */
  readonly taskScores: readonly number[];
  /** Ratings of the version over all tasks. */
  readonly versionScores: readonly number[];
}

/** Scales a histogram down to a total of at most `maxWeight` ratings. */
const capBins = (bins: readonly number[], maxWeight: number): readonly number[] => {
  const weight = sumBins(bins);
  return weight <= maxWeight ? bins : scaleBins(bins, maxWeight / weight);
};

const subtractBins = (a: readonly number[], b: readonly number[]): readonly number[] =>
  a.map((count, bin) => Math.max(0, count - (b[bin] ?? 0)));

/**
 * Two-point histogram with the prior's mean, which has the largest variance possible for that mean.
 */
const getPriorBins = (prior: PriorQuality): readonly number[] => {
  const bins = emptyBins();
  bins[0] = prior.weight * (1 - prior.quality);
  bins[bins.length - 1] = prior.weight * prior.quality;
  return bins;
};

const toEvidence = (bins: readonly number[], ownWeight: number): QualityEvidence => {
  const weight = sumBins(bins);
  return {
    scoreShares: weight > 0 ? scaleBins(bins, 1 / weight) : bins,
    mean: getBinMean(bins),
    weight,
    ownWeight,
  };
};

export const noEvidence: QualityEvidence = toEvidence(emptyBins(), 0);

/** Pools all levels of the hierarchy into one estimate. */
export const poolEvidence = (scores: PooledScores, prior?: PriorQuality): QualityEvidence => {
  const otherTeams = subtractBins(scores.taskScores, scores.ownScores);
  const otherTasks = subtractBins(scores.versionScores, scores.taskScores);
  const ofTask = addBins(
    capBins(otherTeams, TASK_POOL_WEIGHT),
    capBins(otherTasks, VERSION_POOL_WEIGHT),
  );
  const observed = addBins(scores.ownScores, ofTask);
  const pooled = prior ? addBins(observed, getPriorBins(prior)) : observed;
  return toEvidence(pooled, sumBins(scores.ownScores));
};

/** Adds the operators' prior to evidence that was pooled without it. */
export const addPrior = (evidence: QualityEvidence, prior?: PriorQuality): QualityEvidence => {
  if (!prior || prior.weight === 0) {
    return evidence;
  }
  const bins = addBins(scaleBins(evidence.scoreShares, evidence.weight), getPriorBins(prior));
  return toEvidence(bins, evidence.ownWeight);
};

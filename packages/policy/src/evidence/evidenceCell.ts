/**
 * Evidence cells: counting outcomes, merging between daemons, and summing over sources and epochs.
 */
import { EPOCH_MS, EVIDENCE_HALF_LIFE_MS, KEPT_EPOCHS } from './constants.js';
import { emptyBins, getScoreBin } from './scoreBins.js';
import type {
  AnswerEnd,
  EvidenceCell,
  EvidenceShare,
  Outcome,
  OutcomeCounts,
  WeightedCounts,
} from './types.js';

export const emptyCell: EvidenceCell = { era: 0, shares: [] };

/** Creates counts that are all zero. */
export const createEmptyCounts = (): OutcomeCounts => ({
  scoreCounts: emptyBins(),
  answerCount: 0,
  errorCount: 0,
  emptyCount: 0,
  cutCount: 0,
  slowCount: 0,
});

/** Returns the number of the epoch that contains the time. */
export const getEpoch = (nowMs: number): number => Math.floor(nowMs / EPOCH_MS);

const endCounters: Readonly<Record<AnswerEnd, Partial<OutcomeCounts>>> = {
  complete: {},
  error: { errorCount: 1 },
  empty: { emptyCount: 1 },
  cut: { cutCount: 1 },
};

/** Combines two sets of counts field by field. */
const combineCounts = (
  a: OutcomeCounts,
  b: OutcomeCounts,
  combine: (left: number, right: number) => number,
): OutcomeCounts => ({
  scoreCounts: a.scoreCounts.map((count, bin) => combine(count, b.scoreCounts[bin] ?? 0)),
  answerCount: combine(a.answerCount, b.answerCount),
  errorCount: combine(a.errorCount, b.errorCount),
  emptyCount: combine(a.emptyCount, b.emptyCount),
  cutCount: combine(a.cutCount, b.cutCount),
  slowCount: combine(a.slowCount, b.slowCount),
});

export const addCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts =>
  combineCounts(a, b, (left, right) => left + right);

const joinCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts =>
  combineCounts(a, b, Math.max);

/** Returns the counts of a single outcome. */
export const countOutcome = (outcome: Outcome): OutcomeCounts => {
  const counts = createEmptyCounts();
  if (outcome.type === 'rated') {
    const ratedBin = getScoreBin(outcome.score);
    return {
      ...counts,
      scoreCounts: counts.scoreCounts.map((_, bin) => (bin === ratedBin ? 1 : 0)),
    };
  }
  return {
    ...counts,
    ...endCounters[outcome.end],
    answerCount: 1,
    slowCount: outcome.isSlow ? 1 : 0,
  };
};

const isSameShare = (a: EvidenceShare, b: EvidenceShare): boolean =>
  a.source === b.source && a.epoch === b.epoch && a.era === b.era;

const compareShares = (a: EvidenceShare, b: EvidenceShare): number =>
  a.era - b.era || a.epoch - b.epoch || (a.source < b.source ? -1 : Number(a.source > b.source));

const putShare = (
  cell: EvidenceCell,
  share: EvidenceShare,
  combine: (old: OutcomeCounts, added: OutcomeCounts) => OutcomeCounts,
): EvidenceCell => {
  const old = cell.shares.find((other) => isSameShare(other, share));
  if (!old) {
    return { ...cell, shares: [...cell.shares, share].sort(compareShares) };
  }
  const combined = { ...share, counts: combine(old.counts, share.counts) };
  return { ...cell, shares: cell.shares.map((other) => (other === old ? combined : other)) };
};

/** Counts one outcome. Only the source itself may count under its name. */
export const addOutcome = (
  cell: EvidenceCell,
  source: string,
  outcome: Outcome,
  nowMs: number,
): EvidenceCell =>
  putShare(
    cell,
    { source, epoch: getEpoch(nowMs), era: cell.era, counts: countOutcome(outcome) },
    addCounts,
  );

/**
 * Merges the counts known to two daemons. The operation is commutative, associative and idempotent,
 * so messages may be delayed, duplicated or reordered.
 */
export const mergeCells = (a: EvidenceCell, b: EvidenceCell): EvidenceCell =>
  b.shares.reduce((cell, share) => putShare(cell, share, joinCounts), {
    ...a,
    era: Math.max(a.era, b.era),
  });

/** Starts a new era after a drift. A merge keeps the highest era, so that the alarm spreads. */
export const startEra = (cell: EvidenceCell, era: number): EvidenceCell => ({
  ...cell,
  era: Math.max(cell.era, era),
});

/** Drops epochs that no longer carry weight. */
export const dropOldEpochs = (cell: EvidenceCell, nowMs: number): EvidenceCell => {
  const oldest = getEpoch(nowMs) - KEPT_EPOCHS;
  return { ...cell, shares: cell.shares.filter((share) => share.epoch > oldest) };
};

/**
 * Aggregates a data centre's counts into one share per epoch under the name of the aggregate.
 * Several aggregators may each see only a part of the daemons. Each aggregate is a lower bound of
 * the true counts, and so is their join, so no answer is counted twice when another daemon takes
 * over the aggregation.
 */
export const aggregateCell = (cell: EvidenceCell, source: string): EvidenceCell =>
  cell.shares.reduce<EvidenceCell>(
    (aggregate, share) => putShare(aggregate, { ...share, source }, addCounts),
    { ...emptyCell, era: cell.era },
  );

const getEpochWeight = (epoch: number, nowMs: number): number => {
  const ageMs = Math.max(0, getEpoch(nowMs) - epoch) * EPOCH_MS;
  return 0.5 ** (ageMs / EVIDENCE_HALF_LIFE_MS);
};

const scaleCounts = (counts: OutcomeCounts, factor: number): WeightedCounts =>
  combineCounts(counts, counts, (count) => count * factor);

/** Sums the current era's shares of all sources, weighting older epochs by the half-life. */
export const foldCell = (cell: EvidenceCell, nowMs: number): WeightedCounts =>
  cell.shares
    .filter((share) => share.era === cell.era)
    .reduce<WeightedCounts>(
      (sum, share) => addCounts(sum, scaleCounts(share.counts, getEpochWeight(share.epoch, nowMs))),
      createEmptyCounts(),
    );

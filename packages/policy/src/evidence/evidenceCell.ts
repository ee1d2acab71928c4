/** Cells of evidence: counting, merging between daemons, folding over sources and epochs. */
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

/** A cell that knows nothing. */
export const emptyCell: EvidenceCell = { era: 0, shares: [] };

/** Counts of nothing. */
export const createEmptyCounts = (): OutcomeCounts => ({
  scoreCounts: emptyBins(),
  answerCount: 0,
  errorCount: 0,
  emptyCount: 0,
  cutCount: 0,
  slowCount: 0,
});

/** The epoch that a moment belongs to. */
export const getEpoch = (nowMs: number): number => Math.floor(nowMs / EPOCH_MS);

const endCounters: Readonly<Record<AnswerEnd, Partial<OutcomeCounts>>> = {
  complete: {},
  error: { errorCount: 1 },
  empty: { emptyCount: 1 },
  cut: { cutCount: 1 },
};

/** Combines two sets of counts, count by count. */
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

/** The sum of two sets of counts. */
export const addCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts =>
  combineCounts(a, b, (left, right) => left + right);

const joinCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts =>
  combineCounts(a, b, Math.max);

/** The counts of a single outcome. */
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
 * Joins what two daemons know: commutative, associative and idempotent, so that messages may come
 * late, twice or out of order.
 */
export const mergeCells = (a: EvidenceCell, b: EvidenceCell): EvidenceCell =>
  b.shares.reduce((cell, share) => putShare(cell, share, joinCounts), {
    ...a,
    era: Math.max(a.era, b.era),
  });

/** Starts a new era after a drift; a join keeps the highest, so that the alarm spreads. */
export const startEra = (cell: EvidenceCell, era: number): EvidenceCell => ({
  ...cell,
  era: Math.max(cell.era, era),
});

/** Drops epochs that have no weight any more. */
export const dropOldEpochs = (cell: EvidenceCell, nowMs: number): EvidenceCell => {
  const oldest = getEpoch(nowMs) - KEPT_EPOCHS;
  return { ...cell, shares: cell.shares.filter((share) => share.epoch > oldest) };
};

/**
 * One data centre's aggregate, one share an epoch under its own name. Several aggregators may each
 * see a part of the daemons: every aggregate is a lower bound of the true counts, and so is their
 * join. A moved duty therefore never counts an answer twice.
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

/** Sums the era's shares of all sources, older epochs weighed less by the half-life. */
export const foldCell = (cell: EvidenceCell, nowMs: number): WeightedCounts =>
  cell.shares
    .filter((share) => share.era === cell.era)
    .reduce<WeightedCounts>(
      (sum, share) => addCounts(sum, scaleCounts(share.counts, getEpochWeight(share.epoch, nowMs))),
      createEmptyCounts(),
    );

/** One cell as a daemon holds it: counters of single daemons beside aggregates of data centres. */
import {
  addCounts,
  addOutcome,
  aggregateCell,
  createEmptyCounts,
  dropOldEpochs,
  emptyCell,
  foldCell,
  getEpoch,
  mergeCells,
  startEra,
  type EvidenceCell,
  type EvidenceKey,
  type EvidenceShare,
  type Outcome,
  type OutcomeCounts,
} from '@snipehaven/policy';
import { KEPT_OWN_EPOCHS } from '../constants.js';

/** Marks the sources that stand for a whole data centre. */
const AGGREGATE_PREFIX = 'dc/';

export const getAggregateSource = (dataCentre: string): string =>
  `${AGGREGATE_PREFIX}${dataCentre}`;

const isAggregateSource = (source: string): boolean => source.startsWith(AGGREGATE_PREFIX);

/** A daemon's counters of an epoch that went into the aggregate would only take up memory. */
const isOutdated = (share: EvidenceShare): boolean =>
  !isAggregateSource(share.source) && share.epoch <= getEpoch(Date.now()) - KEPT_OWN_EPOCHS;

const countFields = ['answerCount', 'errorCount', 'emptyCount', 'cutCount', 'slowCount'] as const;

const isSameCounts = (a: OutcomeCounts, b: OutcomeCounts): boolean =>
  countFields.every((field) => a[field] === b[field]) &&
  a.scoreCounts.every((count, bin) => count === b.scoreCounts[bin]);

/** Names a share within its cell. */
export type ShareName = Pick<EvidenceShare, 'source' | 'epoch' | 'era'>;

const findShare = (cell: EvidenceCell, name: ShareName): EvidenceShare | undefined =>
  cell.shares.find(
    ({ source, epoch, era }) => source === name.source && epoch === name.epoch && era === name.era,
  );

export class EvidenceEntry {
  readonly key: EvidenceKey;

  readonly #aggregateSource: string;

  /** Shares of daemons of the own data centre. */
  #own = emptyCell;

  #aggregates = emptyCell;

  #joined: EvidenceCell | undefined;

  #folded: { readonly epoch: number; readonly counts: OutcomeCounts } | undefined;

  constructor(key: EvidenceKey, dataCentre: string) {
    this.key = key;
    this.#aggregateSource = getAggregateSource(dataCentre);
  }

  get era(): number {
    return this.#own.era;
  }

  get isEmpty(): boolean {
    return this.#own.shares.length + this.#aggregates.shares.length === 0;
  }

  /**
   * All that is known. The own data centre's aggregate joins what the daemons here count with what earlier
   * ones counted: both are lower bounds of the truth, so their maximum counts nothing twice.
   */
  get cell(): EvidenceCell {
    this.#joined ??= mergeCells(this.#aggregates, aggregateCell(this.#own, this.#aggregateSource));
    return this.#joined;
  }

  /** The shares as they travel within the data centre. */
  get localShares(): readonly EvidenceShare[] {
    return [...this.#own.shares, ...this.#aggregates.shares];
  }

  findLocalShare(name: ShareName): EvidenceShare | undefined {
    return findShare(this.#own, name) ?? findShare(this.#aggregates, name);
  }

  /** Counts an outcome under the source; returns the share that it went into. */
  count(source: string, outcome: Outcome): EvidenceShare {
    const nowMs = Date.now();
    const { era } = this.#own;
    this.#own = addOutcome(this.#own, source, outcome, nowMs);
    this.#forgetSums();
    return findShare(this.#own, { source, epoch: getEpoch(nowMs), era }) as EvidenceShare;
  }

  /** Joins a share; returns it as it stands now, or undefined where it was no news. */
  merge(share: EvidenceShare): EvidenceShare | undefined {
    if (isOutdated(share)) {
      return undefined;
    }
    const side = isAggregateSource(share.source) ? this.#aggregates : this.#own;
    const before = findShare(side, share);
    const merged = mergeCells(side, { era: share.era, shares: [share] });
    const after = findShare(merged, share) as EvidenceShare;
    const isKnown = before !== undefined && isSameCounts(before.counts, after.counts);
    if (isKnown && merged.era === side.era) {
      return undefined;
    }
    this.#put(isAggregateSource(share.source), merged);
    return after;
  }

  /** Counts of the present era, older epochs weighed less. */
  getFolded(): OutcomeCounts {
    const nowMs = Date.now();
    const epoch = getEpoch(nowMs);
    if (this.#folded?.epoch !== epoch) {
      this.#folded = { epoch, counts: foldCell(this.cell, nowMs) };
    }
    return this.#folded.counts;
  }

  /** Counts of the present era, each answer counted in full. */
  getSum(): OutcomeCounts {
    const { era, shares } = this.cell;
    return shares
      .filter((share) => share.era === era)
      .reduce((sum, share) => addCounts(sum, share.counts), createEmptyCounts());
  }

  /** Moves old counters of single daemons into the aggregate, and drops what has no weight. */
  compact(): void {
    const nowMs = Date.now();
    if (this.#own.shares.some(isOutdated)) {
      this.#aggregates = this.cell;
      const shares = this.#own.shares.filter((share) => !isOutdated(share));
      this.#own = { ...this.#own, shares };
    }
    this.#aggregates = dropOldEpochs(this.#aggregates, nowMs);
    this.#forgetSums();
  }

  #put(isAggregate: boolean, cell: EvidenceCell): void {
    if (isAggregate) {
      this.#aggregates = cell;
    } else {
      this.#own = cell;
    }
    const era = Math.max(this.#own.era, this.#aggregates.era);
    this.#own = startEra(this.#own, era);
    this.#aggregates = startEra(this.#aggregates, era);
    this.#forgetSums();
  }

  #forgetSums(): void {
    this.#joined = undefined;
    this.#folded = undefined;
  }
}

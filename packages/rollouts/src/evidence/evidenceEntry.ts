/** One evidence cell of a daemon: shares of single daemons and aggregates of data centres. */
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
import { RETAINED_DAEMON_EPOCHS } from '../constants.js';

/** Prefix of sources that aggregate a whole data centre. */
const AGGREGATE_PREFIX = 'dc/';

export const getAggregateSource = (dataCentre: string): string =>
  `${AGGREGATE_PREFIX}${dataCentre}`;

const isAggregateSource = (source: string): boolean => source.startsWith(AGGREGATE_PREFIX);

/**
 * Whether a daemon's share is old enough to be contained in the aggregate; keeping it would only
 * use memory.
 */
const isOutdated = (share: EvidenceShare): boolean =>
  !isAggregateSource(share.source) && share.epoch <= getEpoch(Date.now()) - RETAINED_DAEMON_EPOCHS;

const countFields = ['answerCount', 'errorCount', 'emptyCount', 'cutCount', 'slowCount'] as const;

const isSameCounts = (a: OutcomeCounts, b: OutcomeCounts): boolean =>
  countFields.every((field) => a[field] === b[field]) &&
  a.scoreCounts.every((count, bin) => count === b.scoreCounts[bin]);

/** Identifies a share within its cell. */
export type ShareId = Pick<EvidenceShare, 'source' | 'epoch' | 'era'>;

const findShare = (cell: EvidenceCell, id: ShareId): EvidenceShare | undefined =>
  cell.shares.find(
    ({ source, epoch, era }) => source === id.source && epoch === id.epoch && era === id.era,
  );

export class EvidenceEntry {
  readonly key: EvidenceKey;

  readonly #aggregateSource: string;

  /** Shares of the daemons in this data centre. */
  #daemonShares = emptyCell;

  #aggregateShares = emptyCell;

  #mergedCell: EvidenceCell | undefined;

  #decayed: { readonly epoch: number; readonly counts: OutcomeCounts } | undefined;

  constructor(key: EvidenceKey, dataCentre: string) {
    this.key = key;
    this.#aggregateSource = getAggregateSource(dataCentre);
  }

  get era(): number {
    return this.#daemonShares.era;
  }

  get isEmpty(): boolean {
    return this.#daemonShares.shares.length + this.#aggregateShares.shares.length === 0;
  }

  /**
   * All evidence of the cell. The aggregate of this data centre is merged with the sum of the
   * current daemon shares, since it may contain counts of daemons that are gone. Both are lower
   * bounds of the true counts, so taking their maximum counts nothing twice.
   */
  get cell(): EvidenceCell {
    this.#mergedCell ??= mergeCells(
      this.#aggregateShares,
      aggregateCell(this.#daemonShares, this.#aggregateSource),
    );
    return this.#mergedCell;
  }

  /** Shares as gossiped within the data centre. */
  get localShares(): readonly EvidenceShare[] {
    return [...this.#daemonShares.shares, ...this.#aggregateShares.shares];
  }

  findLocalShare(id: ShareId): EvidenceShare | undefined {
    return findShare(this.#daemonShares, id) ?? findShare(this.#aggregateShares, id);
  }

  /** Counts an outcome for the source; returns the updated share. */
  recordOutcome(source: string, outcome: Outcome): EvidenceShare {
    const nowMs = Date.now();
    const { era } = this.#daemonShares;
    this.#daemonShares = addOutcome(this.#daemonShares, source, outcome, nowMs);
    this.#invalidateCaches();
    return findShare(this.#daemonShares, { source, epoch: getEpoch(nowMs), era }) as EvidenceShare;
  }

  /** Merges a share; returns the merged share, or undefined if nothing changed. */
  merge(share: EvidenceShare): EvidenceShare | undefined {
    if (isOutdated(share)) {
      return undefined;
    }
    const cell = isAggregateSource(share.source) ? this.#aggregateShares : this.#daemonShares;
    const before = findShare(cell, share);
    const merged = mergeCells(cell, { era: share.era, shares: [share] });
    const after = findShare(merged, share) as EvidenceShare;
    const isKnown = before !== undefined && isSameCounts(before.counts, after.counts);
    if (isKnown && merged.era === cell.era) {
      return undefined;
    }
    this.#replace(isAggregateSource(share.source), merged);
    return after;
  }

  /** Counts of the current era, with older epochs decayed. */
  getDecayedCounts(): OutcomeCounts {
    const nowMs = Date.now();
    const epoch = getEpoch(nowMs);
    if (this.#decayed?.epoch !== epoch) {
      this.#decayed = { epoch, counts: foldCell(this.cell, nowMs) };
    }
    return this.#decayed.counts;
  }

  /** Counts of the current era without decay. */
  getTotalCounts(): OutcomeCounts {
    const { era, shares } = this.cell;
    return shares
      .filter((share) => share.era === era)
      .reduce((sum, share) => addCounts(sum, share.counts), createEmptyCounts());
  }

  /** Moves old daemon shares into the aggregate and drops fully decayed epochs. */
  compact(): void {
    const nowMs = Date.now();
    if (this.#daemonShares.shares.some(isOutdated)) {
      this.#aggregateShares = this.cell;
      const shares = this.#daemonShares.shares.filter((share) => !isOutdated(share));
      this.#daemonShares = { ...this.#daemonShares, shares };
    }
    this.#aggregateShares = dropOldEpochs(this.#aggregateShares, nowMs);
    this.#invalidateCaches();
  }

  #replace(isAggregate: boolean, cell: EvidenceCell): void {
    if (isAggregate) {
      this.#aggregateShares = cell;
    } else {
      this.#daemonShares = cell;
    }
    const era = Math.max(this.#daemonShares.era, this.#aggregateShares.era);
    this.#daemonShares = startEra(this.#daemonShares, era);
    this.#aggregateShares = startEra(this.#aggregateShares, era);
    this.#invalidateCaches();
  }

  #invalidateCaches(): void {
    this.#mergedCell = undefined;
    this.#decayed = undefined;
  }
}

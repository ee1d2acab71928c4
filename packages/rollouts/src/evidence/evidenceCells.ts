/**
 * All evidence that a daemon holds. Everything joins by the maximum, so gossip may come late, twice or out
 * of order.
 */
import {
  createEmptyCounts,
  getEpoch,
  type EvidenceKey,
  type EvidenceShare,
  type Outcome,
  type OutcomeCounts,
} from '@snipehaven/policy';
import { MAX_CELLS, MAX_EPOCH_AHEAD } from '../constants.js';
import { formatCellKey } from './cellKey.js';
import { EvidenceEntry } from './evidenceEntry.js';

/** A share with the cell that it belongs to. */
export interface CellShare {
  readonly key: EvidenceKey;
  readonly share: EvidenceShare;
}

/** Told of each share that changed. */
export type CellListener = (key: EvidenceKey, share: EvidenceShare) => void;

export interface EvidenceCellsOptions {
  readonly incarnation: string;
  readonly dataCentre: string;
}

export class EvidenceCells {
  readonly #options: EvidenceCellsOptions;

  readonly #entries = new Map<string, EvidenceEntry>();

  readonly #byVersion = new Map<string, Set<EvidenceEntry>>();

  readonly #listeners = new Set<CellListener>();

  /** Rises with each change of a version's cells. */
  readonly #revisions = new Map<string, number>();

  constructor(options: EvidenceCellsOptions) {
    this.#options = options;
  }

  onChange(listener: CellListener): void {
    this.#listeners.add(listener);
  }

  /** Counts an outcome of this daemon's own. */
  count(key: EvidenceKey, outcome: Outcome): void {
    const entry = this.#getOrCreate(key);
    if (entry !== undefined) {
      this.#noteChange(key, entry.count(this.#options.incarnation, outcome));
    }
  }

  /** Joins a share that a peer told of; returns whether it was news. */
  merge({ key, share }: CellShare): boolean {
    const isAhead = share.epoch > getEpoch(Date.now()) + MAX_EPOCH_AHEAD;
    const changed = isAhead ? undefined : this.#getOrCreate(key)?.merge(share);
    if (changed === undefined) {
      return false;
    }
    this.#noteChange(key, changed);
    return true;
  }

  /** Starts an era of a version's cells for a task; the news spreads with an empty share. */
  startEra(version: string, task: string, era: number): void {
    const { incarnation } = this.#options;
    const epoch = getEpoch(Date.now());
    const share = { source: incarnation, epoch, era, counts: createEmptyCounts() };
    this.list(version)
      .filter(({ key }) => key.task === task)
      .forEach(({ key }) => this.merge({ key, share }));
  }

  /** Highest era of a version's cells for a task. */
  getEra(version: string, task: string): number {
    const eras = this.list(version)
      .filter(({ key }) => key.task === task)
      .map(({ era }) => era);
    return Math.max(0, ...eras);
  }

  /** Counts of the present era, older epochs weighed less. */
  getFolded(key: EvidenceKey): OutcomeCounts | undefined {
    return this.#entries.get(formatCellKey(key))?.getFolded();
  }

  /** Counts of the present era, each answer counted in full. */
  getSum(key: EvidenceKey): OutcomeCounts | undefined {
    return this.#entries.get(formatCellKey(key))?.getSum();
  }

  get(cellKey: string): EvidenceEntry | undefined {
    return this.#entries.get(cellKey);
  }

  /** A version's cells. */
  list(version: string): readonly EvidenceEntry[] {
    return [...(this.#byVersion.get(version) ?? [])];
  }

  /** Whether a version's cells changed can be seen from this number. */
  getRevision(version: string): number {
    return this.#revisions.get(version) ?? 0;
  }

  get cellKeys(): readonly string[] {
    return [...this.#entries.keys()];
  }

  /** Drops what has no weight any more. */
  compact(): void {
    this.#entries.forEach((entry, cellKey) => {
      entry.compact();
      if (entry.isEmpty) {
        this.#entries.delete(cellKey);
        this.#byVersion.get(entry.key.version)?.delete(entry);
      }
    });
  }

  #getOrCreate(key: EvidenceKey): EvidenceEntry | undefined {
    const cellKey = formatCellKey(key);
    const present = this.#entries.get(cellKey);
    if (present !== undefined || this.#entries.size >= MAX_CELLS) {
      return present;
    }
    const created = new EvidenceEntry(key, this.#options.dataCentre);
    this.#entries.set(cellKey, created);
    const ofVersion = this.#byVersion.get(key.version) ?? new Set();
    this.#byVersion.set(key.version, ofVersion.add(created));
    return created;
  }

  #noteChange(key: EvidenceKey, share: EvidenceShare): void {
    this.#revisions.set(key.version, this.getRevision(key.version) + 1);
    this.#listeners.forEach((listener) => listener(key, share));
  }
}

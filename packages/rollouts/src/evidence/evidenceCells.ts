/**
 * The evidence cells of one daemon. Shares are merged by taking the maximum of each counter, so
 * gossip may be delayed, duplicated or reordered.
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

/** A share and the cell that it belongs to. */
export interface CellShare {
  readonly key: EvidenceKey;
  readonly share: EvidenceShare;
}

/** Called with every share that changed. */
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

  /** Revision per version, incremented on each change of its cells. */
  readonly #revisions = new Map<string, number>();

  constructor(options: EvidenceCellsOptions) {
    this.#options = options;
  }

  onChange(listener: CellListener): void {
    this.#listeners.add(listener);
  }

  /** Counts an outcome observed by this daemon. */
  recordOutcome(key: EvidenceKey, outcome: Outcome): void {
    const entry = this.#getOrCreate(key);
    if (entry !== undefined) {
      this.#notifyChange(key, entry.recordOutcome(this.#options.incarnation, outcome));
    }
  }

  /** Merges a share received from a peer; returns whether it changed anything. */
  merge({ key, share }: CellShare): boolean {
    const isAhead = share.epoch > getEpoch(Date.now()) + MAX_EPOCH_AHEAD;
    const changed = isAhead ? undefined : this.#getOrCreate(key)?.merge(share);
    if (changed === undefined) {
      return false;
    }
    this.#notifyChange(key, changed);
    return true;
  }

  /** Starts an era for a version and task; an empty share propagates it to the peers. */
  startEra(version: string, task: string, era: number): void {
    const { incarnation } = this.#options;
    const epoch = getEpoch(Date.now());
    const share = { source: incarnation, epoch, era, counts: createEmptyCounts() };
    this.list(version)
      .filter(({ key }) => key.task === task)
      .forEach(({ key }) => this.merge({ key, share }));
  }

  /** The highest era of the cells of a version and task. */
  getEra(version: string, task: string): number {
    const eras = this.list(version)
      .filter(({ key }) => key.task === task)
      .map(({ era }) => era);
    return Math.max(0, ...eras);
  }

  /** Counts of the current era, with older epochs decayed. */
  getDecayedCounts(key: EvidenceKey): OutcomeCounts | undefined {
    return this.#entries.get(formatCellKey(key))?.getDecayedCounts();
  }

  /** Counts of the current era without decay. */
  getTotalCounts(key: EvidenceKey): OutcomeCounts | undefined {
    return this.#entries.get(formatCellKey(key))?.getTotalCounts();
  }

  get(cellKey: string): EvidenceEntry | undefined {
    return this.#entries.get(cellKey);
  }

  list(version: string): readonly EvidenceEntry[] {
    return [...(this.#byVersion.get(version) ?? [])];
  }

  /** Changes whenever a cell of the version changes. */
  getRevision(version: string): number {
    return this.#revisions.get(version) ?? 0;
  }

  get cellKeys(): readonly string[] {
    return [...this.#entries.keys()];
  }

  /** Compacts all cells and removes those whose evidence has fully decayed. */
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

  #notifyChange(key: EvidenceKey, share: EvidenceShare): void {
    this.#revisions.set(key.version, this.getRevision(key.version) + 1);
    this.#listeners.forEach((listener) => listener(key, share));
  }
}

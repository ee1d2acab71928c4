/**
 * Notices versions that got worse in production. Each daemon watches the ratings of all as they arrive,
 * and all raise the same era, so that it does not matter who notices first.
 */
import { asId, type Logger, type VersionId } from '@snipehaven/common';
import type { SafeMoves } from '@snipehaven/configuration';
import {
  createEmptyCounts,
  addCounts,
  getBinScore,
  hasDrifted,
  noEvidence,
  poolEvidence,
  startDriftDetector,
  updateDriftDetector,
  type DriftDetector,
  type QualityEvidence,
} from '@snipehaven/policy';
import {
  DRIFT_REFERENCE_MS,
  DRIFT_SUSPICION_MS,
  DRIFT_WINDOW,
  GROSS_DRIFT_FACTOR,
} from '../constants.js';
import type { EvidenceCells } from './evidenceCells.js';

/** What is watched of one version's answers to one task. */
interface Watch {
  readonly era: number;
  readonly detector: DriftDetector;
  /** Ratings already taken in, by bin. */
  readonly seen: readonly number[];
  readonly recent: readonly number[];
  readonly reference: QualityEvidence;
  /** Ratings so far as of some time ago; becomes the reference when it is old enough. */
  readonly next: QualityEvidence;
  readonly nextAtMs: number;
}

export interface DriftWatchOptions {
  readonly cells: EvidenceCells;
  readonly safeMoves: Pick<SafeMoves, 'activate' | 'isVersionBlocked'>;
  /** Versions that callers can get. */
  readonly listVersions: () => readonly string[];
  readonly incarnation: string;
  readonly logger: Logger;
}

const getMean = (scores: readonly number[]): number =>
  scores.reduce((sum, score) => sum + score, 0) / Math.max(1, scores.length);

const toEvidence = (bins: readonly number[]): QualityEvidence =>
  poolEvidence({ ownScores: bins, taskScores: bins, versionScores: bins });

export class DriftWatch {
  readonly #options: DriftWatchOptions;

  readonly #watches = new Map<string, Watch>();

  readonly #revisions = new Map<string, number>();

  /** When each version last drifted. */
  readonly #driftedAtMs = new Map<string, number>();

  constructor(options: DriftWatchOptions) {
    this.#options = options;
  }

  /** Takes in the ratings that came since the last call. */
  check(): void {
    const { cells, listVersions } = this.#options;
    listVersions()
      .filter((version) => this.#revisions.get(version) !== cells.getRevision(version))
      .forEach((version) => {
        this.#revisions.set(version, cells.getRevision(version));
        const tasks = new Set(cells.list(version).map(({ key }) => key.task));
        tasks.forEach((task) => this.#checkTask(version, task));
      });
  }

  #checkTask(version: string, task: string): void {
    const { cells } = this.#options;
    const key = `${version}|${task}`;
    const era = cells.getEra(version, task);
    const bins = this.#sumBins(version, task, era);
    const known = this.#watches.get(key);
    const watch = known === undefined || known.era !== era ? this.#startWatch(era, bins) : known;
    const updated = this.#takeIn(watch, bins);
    this.#watches.set(key, updated);
    if (hasDrifted(updated.detector)) {
      this.#raise(version, task, updated);
    }
  }

  /** A new life of the daemon, or a new era, begins with what is known and no suspicion. */
  #startWatch(era: number, bins: readonly number[]): Watch {
    const evidence = toEvidence(bins);
    return {
      era,
      detector: startDriftDetector(),
      seen: bins,
      recent: [],
      reference: evidence.weight > 0 ? evidence : noEvidence,
      next: evidence,
      nextAtMs: Date.now(),
    };
  }

  #takeIn(watch: Watch, bins: readonly number[]): Watch {
    const added = bins.flatMap((count, bin) => {
      const isNew = Math.max(0, count - (watch.seen[bin] ?? 0));
      return new Array<number>(isNew).fill(getBinScore(bin));
    });
    const detector = added.reduce(
      (state, score) => updateDriftDetector(state, score, watch.reference),
      watch.detector,
    );
    const recent = [...watch.recent, ...added].slice(-DRIFT_WINDOW);
    return this.#renewReference({ ...watch, detector, recent, seen: bins });
  }

  #renewReference(watch: Watch): Watch {
    const nowMs = Date.now();
    return nowMs - watch.nextAtMs < DRIFT_REFERENCE_MS
      ? watch
      : { ...watch, reference: watch.next, next: toEvidence(watch.seen), nextAtMs: nowMs };
  }

  #sumBins(version: string, task: string, era: number): readonly number[] {
    const { cells } = this.#options;
    return cells
      .list(version)
      .filter((entry) => entry.key.task === task && entry.key.position === 'direct')
      .filter((entry) => entry.era === era)
      .reduce((sum, entry) => addCounts(sum, entry.getSum()), createEmptyCounts()).scoreCounts;
  }

  #raise(version: string, task: string, watch: Watch): void {
    const { cells, logger } = this.#options;
    const before = watch.reference.mean;
    const now = getMean(watch.recent);
    logger.warn({ version, task, before, now }, 'a version got worse');
    cells.startEra(version, task, watch.era + 1);
    this.#watches.delete(`${version}|${task}`);
    const isGross = now < before * GROSS_DRIFT_FACTOR;
    const mayQuarantine = this.#mayQuarantine(version);
    this.#driftedAtMs.set(version, Date.now());
    if (isGross && mayQuarantine) {
      void this.#quarantine(asId<VersionId>(version), task, before, now);
    }
  }

  /**
   * What goes wrong: the rater itself breaks and gives everything low scores; versions would be quarantined
   * one after another until nothing can answer. One notices several versions that drift at once. So a
   * second one within some minutes only loses its evidence, and the last one is never quarantined.
   */
  #mayQuarantine(version: string): boolean {
    const { safeMoves, listVersions } = this.#options;
    const isUsable = (other: string): boolean =>
      other !== version && !safeMoves.isVersionBlocked(other);
    const isSuspicious = [...this.#driftedAtMs].some(
      ([other, atMs]) => other !== version && Date.now() - atMs < DRIFT_SUSPICION_MS,
    );
    return !isSuspicious && !safeMoves.isVersionBlocked(version) && listVersions().some(isUsable);
  }

  async #quarantine(version: VersionId, task: string, before: number, now: number): Promise<void> {
    const { safeMoves, incarnation, logger } = this.#options;
    const reason = `drift: ratings of ${task} fell from ${before.toFixed(2)} to ${now.toFixed(2)}`;
    try {
      await safeMoves.activate('quarantine', version, reason, incarnation);
    } catch (error) {
      logger.error({ err: error, version }, 'quarantine failed');
    }
  }
}

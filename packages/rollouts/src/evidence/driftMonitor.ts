/**
 * Detects versions whose quality drops in production. Every daemon evaluates the ratings of all
 * daemons and starts the same next era of evidence, so it does not matter which one detects the
 * drift first.
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
  DRIFT_BASELINE_AGE_MS,
  CONCURRENT_DRIFT_WINDOW_MS,
  DRIFT_WINDOW,
  GROSS_DRIFT_FACTOR,
} from '../constants.js';
import type { EvidenceCells } from './evidenceCells.js';

/** Drift detection state for one version and task. */
interface DriftState {
  readonly era: number;
  readonly detector: DriftDetector;
  /** Number of ratings already ingested, per score bin. */
  readonly countedBins: readonly number[];
  readonly recentScores: readonly number[];
  readonly baseline: QualityEvidence;
  /** Evidence at the last rotation; replaces the baseline once it is old enough. */
  readonly nextBaseline: QualityEvidence;
  readonly nextBaselineAtMs: number;
}

export interface DriftMonitorOptions {
  readonly cells: EvidenceCells;
  readonly safeMoves: Pick<SafeMoves, 'activate' | 'isVersionBlocked'>;
  /** Versions that callers can be served. */
  readonly listVersions: () => readonly string[];
  readonly incarnation: string;
  readonly logger: Logger;
}

const getMean = (scores: readonly number[]): number =>
  scores.reduce((sum, score) => sum + score, 0) / Math.max(1, scores.length);

const toEvidence = (bins: readonly number[]): QualityEvidence =>
  poolEvidence({ ownScores: bins, taskScores: bins, versionScores: bins });

export class DriftMonitor {
  readonly #options: DriftMonitorOptions;

  readonly #states = new Map<string, DriftState>();

  readonly #revisions = new Map<string, number>();

  /** Time of the last drift per version. */
  readonly #driftedAtMs = new Map<string, number>();

  constructor(options: DriftMonitorOptions) {
    this.#options = options;
  }

  /** Evaluates the ratings received since the last call. */
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
    const known = this.#states.get(key);
    const drift = known === undefined || known.era !== era ? this.#createState(era, bins) : known;
    const updated = this.#ingest(drift, bins);
    this.#states.set(key, updated);
    if (hasDrifted(updated.detector)) {
      this.#handleDrift(version, task, updated);
    }
  }

  /**
   * After a daemon restart or a new era, the known evidence is the baseline and the detector is
   * reset.
   */
  #createState(era: number, bins: readonly number[]): DriftState {
    const evidence = toEvidence(bins);
    return {
      era,
      detector: startDriftDetector(),
      countedBins: bins,
      recentScores: [],
      baseline: evidence.weight > 0 ? evidence : noEvidence,
      nextBaseline: evidence,
      nextBaselineAtMs: Date.now(),
    };
  }

  #ingest(drift: DriftState, bins: readonly number[]): DriftState {
    const added = bins.flatMap((count, bin) => {
      const isNew = Math.max(0, count - (drift.countedBins[bin] ?? 0));
      return new Array<number>(isNew).fill(getBinScore(bin));
    });
    const detector = added.reduce(
      (state, score) => updateDriftDetector(state, score, drift.baseline),
      drift.detector,
    );
    const recent = [...drift.recentScores, ...added].slice(-DRIFT_WINDOW);
    return this.#rotateBaseline({ ...drift, detector, recentScores: recent, countedBins: bins });
  }

  #rotateBaseline(drift: DriftState): DriftState {
    const nowMs = Date.now();
    return nowMs - drift.nextBaselineAtMs < DRIFT_BASELINE_AGE_MS
      ? drift
      : {
          ...drift,
          baseline: drift.nextBaseline,
          nextBaseline: toEvidence(drift.countedBins),
          nextBaselineAtMs: nowMs,
        };
  }

  #sumBins(version: string, task: string, era: number): readonly number[] {
    const { cells } = this.#options;
    return cells
      .list(version)
      .filter((entry) => entry.key.task === task && entry.key.position === 'direct')
      .filter((entry) => entry.era === era)
      .reduce((sum, entry) => addCounts(sum, entry.getTotalCounts()), createEmptyCounts())
      .scoreCounts;
  }

  #handleDrift(version: string, task: string, drift: DriftState): void {
    const { cells, logger } = this.#options;
    const before = drift.baseline.mean;
    const now = getMean(drift.recentScores);
    logger.warn(
      { version, task, before, now },
      'version quality dropped; starting a new evidence era',
    );
    cells.startEra(version, task, drift.era + 1);
    this.#states.delete(`${version}|${task}`);
    const isGross = now < before * GROSS_DRIFT_FACTOR;
    const mayQuarantine = this.#mayQuarantine(version);
    this.#driftedAtMs.set(version, Date.now());
    if (isGross && mayQuarantine) {
      void this.#quarantine(asId<VersionId>(version), task, before, now);
    }
  }

  /**
   * A faulty rater that scores every answer low would make all versions drift, and they would be
   * quarantined one after another until none could serve. A version is therefore not quarantined if
   * another drifted within `CONCURRENT_DRIFT_WINDOW_MS` (it only loses its evidence), nor if it is
   * the last usable version.
   */
  #mayQuarantine(version: string): boolean {
    const { safeMoves, listVersions } = this.#options;
    const isUsable = (other: string): boolean =>
      other !== version && !safeMoves.isVersionBlocked(other);
    const isSuspicious = [...this.#driftedAtMs].some(
      ([other, atMs]) => other !== version && Date.now() - atMs < CONCURRENT_DRIFT_WINDOW_MS,
    );
    return !isSuspicious && !safeMoves.isVersionBlocked(version) && listVersions().some(isUsable);
  }

  async #quarantine(version: VersionId, task: string, before: number, now: number): Promise<void> {
    const { safeMoves, incarnation, logger } = this.#options;
    const reason = `drift: ratings of ${task} fell from ${before.toFixed(2)} to ${now.toFixed(2)}`;
    try {
      await safeMoves.activate('quarantine', version, reason, incarnation);
    } catch (error) {
      logger.error({ err: error, version }, 'could not quarantine the version after a drift');
    }
  }
}

/** What the daemons know about the versions, driven by the policy package's evidence functions. */
import type { TeamId, VersionId } from '@snipehaven/common';
import {
  addOutcome,
  emptyBins,
  emptyCell,
  foldCell,
  hasDrifted,
  noEvidence,
  poolEvidence,
  startDriftDetector,
  startEra,
  updateDriftDetector,
  type AnswerPosition,
  type DriftDetector,
  type EvidenceCell,
  type QualityEvidence,
} from '@snipehaven/policy';

/** Names one stream's evidence. */
export interface BoardKey {
  readonly id: string;
  /** Names the evidence of all teams for the task and version. */
  readonly taskId: string;
  /** Names the version's evidence over all tasks. */
  readonly versionId: string;
  /** The task's name without the position. */
  readonly taskPrefix: string;
}

const positions: readonly AnswerPosition[] = ['direct', 'escalated'];

/** Builds a key; done once for each stream, for it is used with every request. */
export const createBoardKey = (
  team: TeamId,
  task: string,
  version: VersionId,
  position: AnswerPosition,
): BoardKey => ({
  id: `${team}|${task}|${version}|${position}`,
  taskId: `${task}|${version}|${position}`,
  versionId: `${version}|${position}`,
  taskPrefix: `${task}|${version}|`,
});

const SOURCE = 'bench';

/** Evidence is pooled anew after this time; the age that plans see. */
const REFRESH_MS = 60_000;

/** Age of the reference that the drift test compares with, at least. */
const REFERENCE_MS = 4 * 3_600_000;

/** Counts are folded anew after this time even without a new rating, for they decay. */
const REFOLD_MS = 3_600_000;

interface CellEntry {
  readonly key: BoardKey;
  readonly cell: EvidenceCell;
  /** The fold that stands in the sums. */
  readonly folded: readonly number[];
  readonly foldedAtMs: number;
  readonly isChanged: boolean;
}

type Snapshot = Map<string, QualityEvidence>;

/** Counts ratings and gives pooled estimates as of the last refresh. */
export class EvidenceBoard {
  readonly #entries = new Map<string, CellEntry>();

  readonly #sums = new Map<string, number[]>();

  readonly #detectors = new Map<string, DriftDetector>();

  readonly #eras = new Map<string, number>();

  #refreshedAtMs = -REFRESH_MS;

  #referenceAtMs = 0;

  #snapshot: Snapshot = new Map();

  #reference: Snapshot = new Map();

  #nextReference: Snapshot = new Map();

  #driftCount = 0;

  /** Drifts noticed so far, true or false ones. */
  get driftCount(): number {
    return this.#driftCount;
  }

  rate(key: BoardKey, score: number, nowMs: number): void {
    const entry = this.#getEntry(key);
    const cell = addOutcome(entry.cell, SOURCE, { type: 'rated', score }, nowMs);
    this.#entries.set(key.id, { ...entry, cell, isChanged: true });
    this.#detect(key, score);
  }

  getEvidence(key: BoardKey, nowMs: number): QualityEvidence {
    if (nowMs - this.#refreshedAtMs >= REFRESH_MS) {
      this.#refresh(nowMs);
    }
    const known = this.#snapshot.get(key.id);
    if (known) {
      return known;
    }
    const pooled = this.#pool(key);
    this.#snapshot.set(key.id, pooled);
    return pooled;
  }

  #getEntry(key: BoardKey): CellEntry {
    const known = this.#entries.get(key.id);
    if (known) {
      return known;
    }
    const cell = startEra(emptyCell, this.#eras.get(key.taskId) ?? 0);
    return { key, cell, folded: emptyBins(), foldedAtMs: 0, isChanged: false };
  }

  #pool(key: BoardKey): QualityEvidence {
    return poolEvidence({
      ownScores: this.#entries.get(key.id)?.folded ?? emptyBins(),
      taskScores: this.#sums.get(key.taskId) ?? emptyBins(),
      versionScores: this.#sums.get(key.versionId) ?? emptyBins(),
    });
  }

  #refresh(nowMs: number): void {
    this.#entries.forEach((entry) => {
      if (entry.isChanged || nowMs - entry.foldedAtMs >= REFOLD_MS) {
        this.#refold(entry, nowMs);
      }
    });
    if (nowMs - this.#referenceAtMs >= REFERENCE_MS) {
      this.#referenceAtMs = nowMs;
      this.#reference = this.#nextReference;
      this.#nextReference = this.#snapshot;
    }
    this.#refreshedAtMs = nowMs;
    this.#snapshot = new Map();
  }

  #refold(entry: CellEntry, nowMs: number): void {
    const folded = foldCell(entry.cell, nowMs).scoreCounts;
    this.#changeSum(entry.key.taskId, entry.folded, folded);
    this.#changeSum(entry.key.versionId, entry.folded, folded);
    this.#entries.set(entry.key.id, { ...entry, folded, foldedAtMs: nowMs, isChanged: false });
  }

  #changeSum(id: string, old: readonly number[], folded: readonly number[]): void {
    const sum = this.#sums.get(id) ?? emptyBins();
    folded.forEach((count, bin) => {
      sum[bin] = Math.max(0, (sum[bin] ?? 0) + count - (old[bin] ?? 0));
    });
    this.#sums.set(id, sum);
  }

  #detect(key: BoardKey, score: number): void {
    const reference = this.#reference.get(key.id) ?? noEvidence;
    const old = this.#detectors.get(key.taskId) ?? startDriftDetector();
    const detector = updateDriftDetector(old, score, reference);
    this.#detectors.set(key.taskId, detector);
    if (hasDrifted(detector)) {
      this.#startEra(key);
    }
  }

  /** The version's evidence for the task starts anew, whatever the answers' position. */
  #startEra(key: BoardKey): void {
    const era = (this.#eras.get(key.taskId) ?? 0) + 1;
    const taskIds = positions.map((position) => `${key.taskPrefix}${position}`);
    taskIds.forEach((taskId) => {
      this.#eras.set(taskId, era);
      this.#detectors.delete(taskId);
    });
    this.#entries.forEach((entry) => {
      if (taskIds.includes(entry.key.taskId)) {
        const cell = startEra(entry.cell, era);
        this.#entries.set(entry.key.id, { ...entry, cell, isChanged: true });
      }
    });
    this.#driftCount += 1;
    this.#reference = new Map();
    this.#nextReference = new Map();
    this.#refreshedAtMs = -Infinity;
  }
}

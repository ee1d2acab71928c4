/** Pools the cells into estimates for the request path, which asks for several with each request. */
import {
  addBins,
  addPrior,
  emptyBins,
  noEvidence,
  poolEvidence,
  scaleBins,
  type EvidenceKey,
  type PriorQuality,
  type QualityEvidence,
} from '@snipehaven/policy';
import type { VersionId } from '@snipehaven/common';
import { EVIDENCE_CACHE_MS, MAX_CACHED_SUBJECTS, STAND_IN_WEIGHT } from '../constants.js';
import { formatCellKey } from './cellKey.js';
import type { EvidenceCells } from './evidenceCells.js';

interface Cached {
  readonly atMs: number;
  readonly evidence: QualityEvidence;
}

/** Score histograms of a version: over all tasks and for each. */
interface VersionScores {
  readonly atMs: number;
  readonly all: readonly number[];
  readonly byTask: ReadonlyMap<string, readonly number[]>;
}

/** The stable version that speaks for a candidate of a roll-out; undefined for other versions. */
export type FindStandIn = (version: VersionId) => VersionId | undefined;

const isFresh = (cached: { readonly atMs: number } | undefined, nowMs: number): boolean =>
  cached !== undefined && Math.abs(nowMs - cached.atMs) < EVIDENCE_CACHE_MS;

export class PooledEvidence {
  readonly #cells: EvidenceCells;

  readonly #findStandIn: FindStandIn;

  readonly #subjects = new Map<string, Cached>();

  readonly #versions = new Map<string, VersionScores>();

  constructor(cells: EvidenceCells, findStandIn: FindStandIn) {
    this.#cells = cells;
    this.#findStandIn = findStandIn;
  }

  /** Evidence at most a second old; the prior is added to it. */
  get(key: EvidenceKey, prior: PriorQuality): QualityEvidence {
    const nowMs = Date.now();
    const cacheKey = `${formatCellKey(key)}|${prior.quality}|${prior.weight}`;
    const cached = this.#subjects.get(cacheKey);
    if (cached !== undefined && isFresh(cached, nowMs)) {
      return cached.evidence;
    }
    if (this.#subjects.size >= MAX_CACHED_SUBJECTS) {
      this.#subjects.clear();
    }
    const evidence = addPrior(this.#pool(key), prior);
    this.#subjects.set(cacheKey, { atMs: nowMs, evidence });
    return evidence;
  }

  #pool(key: EvidenceKey): QualityEvidence {
    const own = this.#poolVersion(key);
    const standIn = this.#findStandIn(key.version);
    return standIn === undefined || own.weight >= STAND_IN_WEIGHT
      ? own
      : this.#fillUp(own, this.#poolVersion({ ...key, version: standIn }));
  }

  /**
   * What goes wrong: a candidate has no ratings, so no plan that must meet a target ever takes it, and the
   * roll-out never gets any. One notices a roll-out that stands still with its grants unused. Where the
   * assigner lets the candidate take the stable version's place, it is planned with that one's evidence,
   * until it has as much of its own; the guard and the grants bound what that may cost.
   */
  #fillUp(own: QualityEvidence, stable: QualityEvidence): QualityEvidence {
    const missing = Math.min(stable.weight, STAND_IN_WEIGHT - own.weight);
    const weight = own.weight + missing;
    if (missing <= 0) {
      return own;
    }
    const shares = addBins(
      scaleBins(own.scoreShares, own.weight / weight),
      scaleBins(stable.scoreShares, missing / weight),
    );
    const mean = (own.mean * own.weight + stable.mean * missing) / weight;
    return { scoreShares: shares, mean, weight, ownWeight: own.ownWeight };
  }

  #poolVersion(key: EvidenceKey): QualityEvidence {
    const own = this.#cells.getFolded(key)?.scoreCounts;
    const version = this.#getVersionScores(key);
    if (version === undefined) {
      return noEvidence;
    }
    return poolEvidence({
      ownScores: own ?? emptyBins(),
      taskScores: version.byTask.get(key.task) ?? emptyBins(),
      versionScores: version.all,
    });
  }

  #getVersionScores({ version, position }: EvidenceKey): VersionScores | undefined {
    const nowMs = Date.now();
    const cacheKey = `${version}|${position}`;
    const cached = this.#versions.get(cacheKey);
    if (isFresh(cached, nowMs)) {
      return cached;
    }
    const scores = this.#sumVersion(version, position, nowMs);
    this.#versions.set(cacheKey, scores);
    return scores;
  }

  #sumVersion(version: string, position: string, nowMs: number): VersionScores {
    const byTask = new Map<string, readonly number[]>();
    let all: readonly number[] = emptyBins();
    this.#cells
      .list(version)
      .filter(({ key }) => key.position === position)
      .forEach(({ key }) => {
        const scores = this.#cells.getFolded(key)?.scoreCounts ?? emptyBins();
        byTask.set(key.task, addBins(byTask.get(key.task) ?? emptyBins(), scores));
        all = addBins(all, scores);
      });
    return { atMs: nowMs, all, byTask };
  }
}

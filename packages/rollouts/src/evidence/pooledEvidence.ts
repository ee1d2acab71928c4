/**
 * Pools evidence cells into cached quality estimates, since planning a request reads several of
 * them.
 */
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
import { EVIDENCE_CACHE_MS, MAX_CACHED_SUBJECTS, PROXY_EVIDENCE_WEIGHT } from '../constants.js';
import { formatCellKey } from './cellKey.js';
import type { EvidenceCells } from './evidenceCells.js';

interface CachedEvidence {
  readonly atMs: number;
  readonly evidence: QualityEvidence;
}

/** Score histograms of a version, overall and per task. */
interface VersionScores {
  readonly atMs: number;
  readonly all: readonly number[];
  readonly byTask: ReadonlyMap<string, readonly number[]>;
}

/**
 * Finds the stable version whose evidence substitutes for that of a roll-out candidate; undefined
 * for other versions.
 */
export type FindProxyVersion = (version: VersionId) => VersionId | undefined;

const isFresh = (cached: { readonly atMs: number } | undefined, nowMs: number): boolean =>
  cached !== undefined && Math.abs(nowMs - cached.atMs) < EVIDENCE_CACHE_MS;

export class PooledEvidence {
  readonly #cells: EvidenceCells;

  readonly #findProxyVersion: FindProxyVersion;

  readonly #subjects = new Map<string, CachedEvidence>();

  readonly #versions = new Map<string, VersionScores>();

  constructor(cells: EvidenceCells, findProxyVersion: FindProxyVersion) {
    this.#cells = cells;
    this.#findProxyVersion = findProxyVersion;
  }

  /** Returns pooled evidence combined with the prior; at most `EVIDENCE_CACHE_MS` old. */
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
    const proxyVersion = this.#findProxyVersion(key.version);
    return proxyVersion === undefined || own.weight >= PROXY_EVIDENCE_WEIGHT
      ? own
      : this.#blendProxyEvidence(own, this.#poolVersion({ ...key, version: proxyVersion }));
  }

  /**
   * Without ratings, a candidate would never be planned for a request with a quality target, so the
   * roll-out would stall with its grants unused. Once the assigner lets the candidate replace the
   * stable version, its missing evidence is filled with that of the stable version until it has
   * enough of its own. The guard and the grants limit the cost of a wrong estimate.
   */
  #blendProxyEvidence(own: QualityEvidence, stable: QualityEvidence): QualityEvidence {
    const missing = Math.min(stable.weight, PROXY_EVIDENCE_WEIGHT - own.weight);
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
    const own = this.#cells.getDecayedCounts(key)?.scoreCounts;
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
        const scores = this.#cells.getDecayedCounts(key)?.scoreCounts ?? emptyBins();
        byTask.set(key.task, addBins(byTask.get(key.task) ?? emptyBins(), scores));
        all = addBins(all, scores);
      });
    return { atMs: nowMs, all, byTask };
  }
}

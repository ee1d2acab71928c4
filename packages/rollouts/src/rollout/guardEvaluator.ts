/** Evaluates the roll-out guard over the evidence known to this daemon. */
import {
  createEmptyCounts,
  evaluateGuard,
  sumBins,
  type GuardResult,
  type GuardStratum,
  type RolloutDefinition,
  type RolloutProgress,
  type RolloutSettings,
} from '@snipehaven/policy';
import type { EvidenceCells } from '../evidence/evidenceCells.js';
import type { RolloutStates } from './rolloutStates.js';

interface CachedResult {
  readonly cacheKey: string;
  readonly result: GuardResult;
}

export class GuardEvaluator {
  readonly #cells: EvidenceCells;

  readonly #states: RolloutStates;

  readonly #settings: RolloutSettings;

  readonly #results = new Map<string, CachedResult>();

  constructor(cells: EvidenceCells, states: RolloutStates, settings: RolloutSettings) {
    this.#cells = cells;
    this.#states = states;
    this.#settings = settings;
  }

  /** Number of rated answer pairs over all daemons. */
  getPairCount({ rolloutId }: RolloutDefinition): number {
    return sumBins(this.#states.getPairCounts(rolloutId));
  }

  /**
   * Returns the verdict of the guard; recomputed only if the evidence, the stage or the definition
   * changed.
   */
  evaluate(definition: RolloutDefinition, progress: RolloutProgress): GuardResult {
    const pairCounts = this.#states.getPairCounts(definition.rolloutId);
    const cacheKey = [
      sumBins(pairCounts),
      this.#cells.getRevision(definition.candidateVersion),
      progress.phase,
      progress.stage,
      definition.maxFailureIncreasePct,
      definition.stages.length,
    ].join();
    const known = this.#results.get(definition.rolloutId);
    if (known?.cacheKey === cacheKey) {
      return known.result;
    }
    const strata = this.#listStrata(definition);
    const settings = this.#settings;
    const result = evaluateGuard({ definition, progress, strata, pairCounts, settings });
    this.#results.set(definition.rolloutId, { cacheKey, result });
    return result;
  }

  /** Mean ratings of both versions; undefined for a version without ratings. */
  getMeanRatings({ candidateVersion, stableVersion }: RolloutDefinition): {
    readonly candidate: number | undefined;
    readonly stable: number | undefined;
  } {
    return {
      candidate: this.#getMean(candidateVersion),
      stable: this.#getMean(stableVersion),
    };
  }

  /** One stratum per team and task, so that only similar prompts are compared. */
  #listStrata({ candidateVersion, stableVersion }: RolloutDefinition): readonly GuardStratum[] {
    return this.#cells
      .list(candidateVersion)
      .filter(({ key }) => key.position === 'direct')
      .map(({ key }) => ({
        candidate: this.#cells.getTotalCounts(key) ?? createEmptyCounts(),
        stable:
          this.#cells.getDecayedCounts({ ...key, version: stableVersion }) ?? createEmptyCounts(),
      }))
      .filter(({ candidate }) => candidate.answerCount + sumBins(candidate.scoreCounts) > 0);
  }

  #getMean(version: string): number | undefined {
    let weight = 0;
    let sum = 0;
    this.#cells.list(version).forEach(({ key }) => {
      this.#cells.getDecayedCounts(key)?.scoreCounts.forEach((count, bin, bins) => {
        weight += count;
        sum += (count * (bin + 0.5)) / bins.length;
      });
    });
    return weight === 0 ? undefined : sum / weight;
  }
}

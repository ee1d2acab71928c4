/** Evaluates the guard over the evidence that this daemon holds. */
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

interface Evaluated {
  readonly inputs: string;
  readonly result: GuardResult;
}

export class GuardWatch {
  readonly #cells: EvidenceCells;

  readonly #states: RolloutStates;

  readonly #settings: RolloutSettings;

  readonly #evaluated = new Map<string, Evaluated>();

  constructor(cells: EvidenceCells, states: RolloutStates, settings: RolloutSettings) {
    this.#cells = cells;
    this.#states = states;
    this.#settings = settings;
  }

  /** Pairs of both versions' answers that were rated, over all daemons. */
  getPairCount({ rolloutId }: RolloutDefinition): number {
    return sumBins(this.#states.getPairCounts(rolloutId));
  }

  /** The guard's verdict; computed anew only where the evidence or the stage has changed. */
  evaluate(definition: RolloutDefinition, progress: RolloutProgress): GuardResult {
    const pairCounts = this.#states.getPairCounts(definition.rolloutId);
    const inputs = [
      sumBins(pairCounts),
      this.#cells.getRevision(definition.candidateVersion),
      progress.phase,
      progress.stage,
      definition.maxFailureIncreasePct,
      definition.stages.length,
    ].join();
    const known = this.#evaluated.get(definition.rolloutId);
    if (known?.inputs === inputs) {
      return known.result;
    }
    const strata = this.#listStrata(definition);
    const settings = this.#settings;
    const result = evaluateGuard({ definition, progress, strata, pairCounts, settings });
    this.#evaluated.set(definition.rolloutId, { inputs, result });
    return result;
  }

  /** Mean ratings of both versions; undefined without any. */
  getMeanRatings({ candidateVersion, stableVersion }: RolloutDefinition): {
    readonly candidate: number | undefined;
    readonly stable: number | undefined;
  } {
    return {
      candidate: this.#getMean(candidateVersion),
      stable: this.#getMean(stableVersion),
    };
  }

  /** One stratum for each team and task, so that prompts are compared with prompts of their kind. */
  #listStrata({ candidateVersion, stableVersion }: RolloutDefinition): readonly GuardStratum[] {
    return this.#cells
      .list(candidateVersion)
      .filter(({ key }) => key.position === 'direct')
      .map(({ key }) => ({
        candidate: this.#cells.getSum(key) ?? createEmptyCounts(),
        stable: this.#cells.getFolded({ ...key, version: stableVersion }) ?? createEmptyCounts(),
      }))
      .filter(({ candidate }) => candidate.answerCount + sumBins(candidate.scoreCounts) > 0);
  }

  #getMean(version: string): number | undefined {
    let weight = 0;
    let sum = 0;
    this.#cells.list(version).forEach(({ key }) => {
      this.#cells.getFolded(key)?.scoreCounts.forEach((count, bin, bins) => {
        weight += count;
        sum += (count * (bin + 0.5)) / bins.length;
      });
    });
    return weight === 0 ? undefined : sum / weight;
  }
}

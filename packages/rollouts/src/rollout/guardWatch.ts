/** Evaluates the guard over the evidence that this daemon holds. */
import {
  createEmptyCounts,
  evaluateGuard,
  sumBins,
  type GuardResult,
  type GuardStratum,
  type RolloutDefinition,
  type RolloutProgress,
} from '@snipehaven/policy';
import { rolloutSettings } from '../constants.js';
import type { EvidenceCells } from '../evidence/evidenceCells.js';

interface Evaluated {
  readonly inputs: string;
  readonly result: GuardResult;
}

export class GuardWatch {
  readonly #cells: EvidenceCells;

  readonly #evaluated = new Map<string, Evaluated>();

  constructor(cells: EvidenceCells) {
    this.#cells = cells;
  }

  /** The guard's verdict; computed anew only where the evidence or the stage has changed. */
  evaluate(definition: RolloutDefinition, progress: RolloutProgress): GuardResult {
    const inputs = [
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
    const result = evaluateGuard({ definition, progress, strata, settings: rolloutSettings });
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

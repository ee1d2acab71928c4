/** Learns from the placed work which part of a service's upstreams each of its models needs. */
import type { ModelPartition } from './modelPartitions.js';

/**
 * Decay per placement: about the last thirty placements dominate, which is a few seconds of a busy
 * daemon.
 */
const DECAY_FACTOR = 0.97;

/**
 * Weight of the smaller models' work relative to its tokens. Every caller waits for a first answer,
 * whereas second answers can be omitted, and the prompts of first answers are prefilled between the
 * tokens of other answers.
 */
const FIRST_ANSWER_WEIGHT = 2.5;

/** Work that was placed for a model. */
export interface ModelWork {
  readonly model: string;
  readonly work: number;
}

export class ModelDemand {
  readonly #getOthers: () => readonly ModelWork[];

  readonly #work = new Map<string, number>();

  /**
   * `getOthers` returns the work placed by other daemons. If each daemon derived partitions from
   * its own last thirty placements, the partitions would differ between daemons, and prompt parts
   * would be prefilled at as many owners.
   */
  constructor(getOthers: () => readonly ModelWork[] = () => []) {
    this.#getOthers = getOthers;
  }

  /** Work that this daemon placed recently. */
  get own(): readonly ModelWork[] {
    return [...this.#work].map(([model, work]) => ({ model, work }));
  }

  /** Records that work was placed for a model. */
  recordWork(model: string, work: number): void {
    for (const [name, sum] of this.#work) {
      this.#work.set(name, sum * DECAY_FACTOR);
    }
    this.#work.set(model, (this.#work.get(model) ?? 0) + work);
  }

  /**
   * Returns the model's range in the order of upstreams, which starts with the largest model.
   * Undefined if no work of the model is known.
   */
  findPartition(smallestFirst: readonly string[], model: string): ModelPartition | undefined {
    const largest = smallestFirst.at(-1);
    const sums = this.#sumWork();
    const getWeightedWork = (name: string): number =>
      (sums.get(name) ?? 0) * (name === largest ? 1 : FIRST_ANSWER_WEIGHT);
    const total = smallestFirst.reduce((sum, name) => sum + getWeightedWork(name), 0);
    const index = smallestFirst.indexOf(model);
    if (total === 0 || index < 0 || getWeightedWork(model) === 0) {
      return undefined;
    }
    const before = smallestFirst
      .slice(index + 1)
      .reduce((sum, name) => sum + getWeightedWork(name), 0);
    return { from: before / total, to: (before + getWeightedWork(model)) / total };
  }

  #sumWork(): ReadonlyMap<string, number> {
    const sums = new Map(this.#work);
    this.#getOthers().forEach(({ model, work }) => sums.set(model, (sums.get(model) ?? 0) + work));
    return sums;
  }
}

/** Selects the engines to poll in a round if there are too many to poll all of them every time. */
import type { Random } from '@snipehaven/common';

/**
 * Calls per second that a daemon makes for one kind of report, regardless of the number of engines.
 */
export const MAX_POLLS_PER_SECOND = 8;

const MS_PER_SECOND = 1_000;

/**
 * Polls engines in turn beyond a fixed budget. Every daemon polls every engine of its data centre,
 * so the calls made by a daemon and those answered by an engine both grow with the system: at 157
 * engines they are 470 calls per second, and the control plane takes a tenth of a core.
 */
export class PollRotation {
  readonly #perRound: number;

  readonly #random: Random;

  /**
   * Index at which the next round starts; random at first, so that daemons start at different
   * engines.
   */
  #nextIndex: number | undefined;

  constructor(intervalMs: number, random: Random) {
    this.#perRound = Math.max(1, Math.round((intervalMs / MS_PER_SECOND) * MAX_POLLS_PER_SECOND));
    this.#random = random;
  }

  /** Returns the next items in turn, or all of them if they fit into one round. */
  takeNext<Item>(items: readonly Item[]): readonly Item[] {
    if (items.length <= this.#perRound) {
      return items;
    }
    const first = (this.#nextIndex ?? this.#random.nextInt(items.length)) % items.length;
    this.#nextIndex = first + this.#perRound;
    return [...items.slice(first), ...items.slice(0, first)].slice(0, this.#perRound);
  }
}

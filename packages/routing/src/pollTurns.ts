/** Which engines are polled in a round, when there are too many to poll all of them each time. */
import type { Random } from '@snipehaven/common';

/** Calls a second that a daemon spends on one kind of report, however many engines there are. */
export const MAX_POLLS_PER_SECOND = 8;

const MS_PER_SECOND = 1_000;

/**
 * What goes wrong: every daemon polls every engine of its data centre, so both the daemon's calls and those
 * that an engine answers grow with the system; at 157 engines that is 470 calls a second. One notices
 * control that takes a tenth of a core. Beyond the budget the engines are polled in turn.
 */
export class PollTurns {
  readonly #perRound: number;

  readonly #random: Random;

  /** Where the next round begins; daemons begin at different places. */
  #next: number | undefined;

  constructor(intervalMs: number, random: Random) {
    this.#perRound = Math.max(1, Math.round((intervalMs / MS_PER_SECOND) * MAX_POLLS_PER_SECOND));
    this.#random = random;
  }

  /** The next ones in turn; all where they are few. */
  take<Item>(items: readonly Item[]): readonly Item[] {
    if (items.length <= this.#perRound) {
      return items;
    }
    const first = (this.#next ?? this.#random.nextInt(items.length)) % items.length;
    this.#next = first + this.#perRound;
    return [...items.slice(first), ...items.slice(0, first)].slice(0, this.#perRound);
  }
}

/**
 * Iterates over a changing set of members in random order, so that each member is returned within
 * two rounds.
 */
import type { Random } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';

const shuffle = <Item>(items: readonly Item[], random: Random): Item[] => {
  const shuffled = [...items];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = random.nextInt(index + 1);
    [shuffled[index], shuffled[other]] = [shuffled[other] as Item, shuffled[index] as Item];
  }
  return shuffled;
};

export class ShuffledOrder {
  readonly #random: Random;

  #queue: string[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Returns the next of the given members. Members that joined after the last shuffle have to wait
   * for the next one.
   */
  next(members: readonly Member[]): Member | undefined {
    const byIncarnation = new Map(members.map((member) => [member.incarnation, member]));
    if (!this.#queue.some((incarnation) => byIncarnation.has(incarnation))) {
      this.#queue = shuffle([...byIncarnation.keys()], this.#random);
    }
    while (this.#queue.length > 0) {
      const member = byIncarnation.get(this.#queue.pop() as string);
      if (member) {
        return member;
      }
    }
    return undefined;
  }
}

/** Returns at most `count` random members. */
export const sampleMembers = (
  members: readonly Member[],
  count: number,
  random: Random,
): readonly Member[] => shuffle(members, random).slice(0, count);

/** Random numbers by `pure-rand`: seeded in tests and benches, from entropy in production. */
import { randomInt } from 'node:crypto';
import murmurhash from 'murmurhash';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
  /** A uniform integer in [0, limit). */
  nextInt(limit: number): number;
}

const MAX_SEED = 2 ** 31 - 1;

/**
 * A deterministic source for the given seed. Seeds are small and near each other (1, 2, 3 …), from which
 * the generator's first draws would be nearly equal; they are spread by a hash first.
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(murmurhash.v3(`seed ${seed}`));
  const next = (): number => uniformFloat64(generator);
  return { next, nextInt: (limit) => Math.floor(next() * limit) };
};

/** A seed from the operating system's entropy. */
export const getEntropySeed = (): number => randomInt(MAX_SEED);

/** A uniformly chosen item, or undefined for an empty list. */
export const pickRandom = <Item>(items: readonly Item[], random: Random): Item | undefined =>
  items[random.nextInt(items.length)];

/** Random sources for seeds that lie close together. */
import { createRandom, type Random } from '@snipehaven/common';

const WARM_UP_DRAWS = 8;
const SEED_FACTOR = 48_271;
const SEED_MODULUS = 2 ** 31 - 1;

/** Spreads neighbouring seeds over the generator's range, by Park and Miller's step. */
const spreadSeed = (seed: number): number => {
  const first = ((seed + 1) * SEED_FACTOR) % SEED_MODULUS;
  return (first * SEED_FACTOR) % SEED_MODULUS;
};

/**
 * A source whose first draws differ between neighbouring seeds. The generator's own first draws
 * for small seeds all lie near 1, so that every version would answer every prompt alike.
 */
export const createSeededRandom = (seed: number): Random => {
  const random = createRandom(spreadSeed(seed));
  for (let draw = 0; draw < WARM_UP_DRAWS; draw += 1) {
    random.next();
  }
  return random;
};

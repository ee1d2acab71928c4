/** Random sources for seeds that lie close together. */
import { createRandom, type Random } from '@snipehaven/common';

const WARM_UP_DRAWS = 4;

/** Spreads the bits of a seed, by the finalizer of MurmurHash3. */
const mixSeed = (seed: number): number => {
  let mixed = seed ^ (seed >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) & 0x7fffffff;
};

/**
 * A source whose first draws differ between neighbouring seeds. The generator's own first draws
 * for small seeds all lie near 1, so that every version would answer every prompt alike.
 */
export const createSeededRandom = (seed: number): Random => {
  const random = createRandom(mixSeed(seed));
  for (let draw = 0; draw < WARM_UP_DRAWS; draw += 1) {
    random.next();
  }
  return random;
};

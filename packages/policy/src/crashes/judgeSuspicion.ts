/** Tells a request that may have ended its upstream from one that merely was there. */
import type { Suspicion } from './types.js';

/**
 * A request that ends upstreams does so as it begins to run: 30 to 150 ms after in a recorded incident. One
 * that has been answered for longer than this is more likely to be lost with the upstream than to blame.
 */
export const PROVEN_MS = 1_000;

export interface SuspectFacts {
  /** How long its answer had been coming; absent where none had begun. */
  readonly answeredForMs: number | undefined;
  /** The upstream had said that it leaves, or was not listed any more. */
  readonly isEndExpected: boolean;
}

export const judgeSuspicion = ({ answeredForMs = 0, isEndExpected }: SuspectFacts): Suspicion =>
  isEndExpected || answeredForMs > PROVEN_MS ? 'weak' : 'strong';

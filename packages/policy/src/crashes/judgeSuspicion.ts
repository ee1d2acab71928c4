/** Distinguishes requests that may have crashed their upstream from those that merely ran there. */
import type { Suspicion } from './types.js';

/**
 * A request that crashes upstreams does so shortly after it starts: within 30 to 150 ms in a
 * recorded incident. A request whose answer has been streaming for longer than this is more likely
 * a victim of the crash than its cause.
 */
export const LONG_ANSWER_MS = 1_000;

export interface SuspicionInput {
  /** How long the answer had been streaming; undefined if it had not started. */
  readonly answeredForMs: number | undefined;
  /** The upstream had announced that it was leaving, or was no longer listed. */
  readonly isEndExpected: boolean;
}

export const judgeSuspicion = ({ answeredForMs = 0, isEndExpected }: SuspicionInput): Suspicion =>
  isEndExpected || answeredForMs > LONG_ANSWER_MS ? 'weak' : 'strong';

/** Combines the scores of the two answers of a pair, which arrive separately, late or never. */
import { MAX_OUTSTANDING_PAIRS } from '../constants.js';
import type { PairPart } from './sampleQueue.js';

/** Scores of both versions for the same prompt. */
export interface ScoredPair {
  readonly candidateVersion: string;
  readonly stableScore: number;
  readonly candidateScore: number;
}

interface PendingPair {
  readonly candidateVersion: string;
  readonly stable?: number;
  readonly candidate?: number;
}

export class PairScores {
  readonly #pending = new Map<string, PendingPair>();

  /** Starts waiting for the scores of a pair. */
  register(pairId: string, candidateVersion: string): void {
    this.#pending.set(pairId, { candidateVersion });
    if (this.#pending.size > MAX_OUTSTANDING_PAIRS) {
      const [oldest] = this.#pending.keys();
      this.#pending.delete(oldest ?? '');
    }
  }

  /** Records the score of one answer; returns the pair once both scores are known. */
  recordScore({ pairId, side }: PairPart, score: number): ScoredPair | undefined {
    const pending = this.#pending.get(pairId);
    if (pending === undefined) {
      return undefined;
    }
    const { candidateVersion, stable, candidate }: PendingPair = { ...pending, [side]: score };
    if (stable === undefined || candidate === undefined) {
      this.#pending.set(pairId, { ...pending, [side]: score });
      return undefined;
    }
    this.#pending.delete(pairId);
    return { candidateVersion, stableScore: stable, candidateScore: candidate };
  }
}

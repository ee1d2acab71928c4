/** Joins the scores of both answers of a pair, which come apart, late or never. */
import { MAX_OUTSTANDING_PAIRS } from '../constants.js';
import type { PairPart } from './sampleQueue.js';

/** Both scores of a prompt that both versions answered. */
export interface ScoredPair {
  readonly candidateVersion: string;
  readonly stableScore: number;
  readonly candidateScore: number;
}

interface WaitingPair {
  readonly candidateVersion: string;
  readonly stable?: number;
  readonly candidate?: number;
}

export class PairScores {
  readonly #waiting = new Map<string, WaitingPair>();

  /** Awaits the scores of a pair. */
  open(pairId: string, candidateVersion: string): void {
    this.#waiting.set(pairId, { candidateVersion });
    if (this.#waiting.size > MAX_OUTSTANDING_PAIRS) {
      const [oldest] = this.#waiting.keys();
      this.#waiting.delete(oldest ?? '');
    }
  }

  /** Takes one score in; returns the pair once both are there. */
  note({ pairId, side }: PairPart, score: number): ScoredPair | undefined {
    const waiting = this.#waiting.get(pairId);
    if (waiting === undefined) {
      return undefined;
    }
    const { candidateVersion, stable, candidate }: WaitingPair = { ...waiting, [side]: score };
    if (stable === undefined || candidate === undefined) {
      this.#waiting.set(pairId, { ...waiting, [side]: score });
      return undefined;
    }
    this.#waiting.delete(pairId);
    return { candidateVersion, stableScore: stable, candidateScore: candidate };
  }
}

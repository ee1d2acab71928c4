/** When an answer's bytes went to the caller, against what its route promises. */
import type { ForwardRoute } from '../types.js';

/** For the log, where tenths of a ms say nothing. */
export const roundMs = (ms: number | undefined): number | undefined =>
  ms === undefined ? undefined : Math.round(ms);

export class ResponseTiming {
  readonly #arrivedAtMs: number;

  #firstBytesAtMs: number | undefined;

  #lastBytesAtMs = 0;

  #longestPauseMs = 0;

  constructor(arrivedAtMs: number) {
    this.#arrivedAtMs = arrivedAtMs;
  }

  /** Bytes came for the caller. */
  recordBytes(nowMs: number): void {
    if (this.#firstBytesAtMs === undefined) {
      this.#firstBytesAtMs = nowMs;
    } else {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - this.#lastBytesAtMs);
    }
    this.#lastBytesAtMs = nowMs;
  }

  /** For the log: whether the answer was late, and by which of its two bounds. */
  describe({ kind, targetLatencyMs, targetGapMs }: ForwardRoute) {
    const beganMs = (this.#firstBytesAtMs ?? this.#lastBytesAtMs) - this.#arrivedAtMs;
    const isBeginLate = beganMs > targetLatencyMs;
    const isPauseLate = kind === 'stream' && this.#longestPauseMs > targetGapMs;
    return {
      beganMs: Math.round(beganMs),
      longestPauseMs: Math.round(this.#longestPauseMs),
      targetMs: targetLatencyMs,
      isLate: isBeginLate || isPauseLate,
    };
  }
}

/**
 * Measures when response bytes were relayed to the caller, compared with the targets of the route.
 */
import type { ForwardRoute } from '../types.js';

/** Rounds for the log, where fractions of a ms carry no information. */
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

  recordBytes(nowMs: number): void {
    if (this.#firstBytesAtMs === undefined) {
      this.#firstBytesAtMs = nowMs;
    } else {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - this.#lastBytesAtMs);
    }
    this.#lastBytesAtMs = nowMs;
  }

  /** Log fields: whether the response was late, and against which of the two targets. */
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

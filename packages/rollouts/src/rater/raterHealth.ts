/** Tracks whether the rater is available, from the outcomes of recent calls. */
import type { RaterClient } from '@snipehaven/platform';
import { MAX_CONSECUTIVE_RATER_FAILURES, RATER_PROBE_MS } from '../constants.js';

export class RaterHealth {
  readonly #rater: RaterClient;

  #consecutiveFailures = 0;

  #probedAtMs = -Infinity;

  constructor(rater: RaterClient) {
    this.#rater = rater;
  }

  isUp(): boolean {
    return this.#consecutiveFailures < MAX_CONSECUTIVE_RATER_FAILURES;
  }

  recordSuccess(): void {
    this.#consecutiveFailures = 0;
  }

  recordFailure(): void {
    this.#consecutiveFailures += 1;
  }

  /** Runs a call to the rater and records its outcome. */
  async track<Result>(call: () => Promise<Result>): Promise<Result> {
    try {
      const result = await call();
      this.recordSuccess();
      return result;
    } catch (error) {
      this.recordFailure();
      throw error;
    }
  }

  /**
   * While the rater counts as down, requests no longer call it, so its recovery would go unnoticed;
   * letting requests try it would make them wait in vain. A small periodic probe outside the
   * request path detects the recovery instead.
   */
  async probeIfDown(): Promise<void> {
    const nowMs = Date.now();
    if (this.isUp() || nowMs - this.#probedAtMs < RATER_PROBE_MS) {
      return;
    }
    this.#probedAtMs = nowMs;
    await this.track(() => this.#rater.fetchRatings(0, 1)).catch(() => undefined);
  }
}

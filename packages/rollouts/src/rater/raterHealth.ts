/** Whether the rater answers, by the outcomes of recent calls. */
import type { RaterClient } from '@snipehaven/platform';
import { RATER_FAILURES, RATER_PROBE_MS } from '../constants.js';

export class RaterHealth {
  readonly #rater: RaterClient;

  #failuresInRow = 0;

  #probedAtMs = -Infinity;

  constructor(rater: RaterClient) {
    this.#rater = rater;
  }

  isUp(): boolean {
    return this.#failuresInRow < RATER_FAILURES;
  }

  noteSuccess(): void {
    this.#failuresInRow = 0;
  }

  noteFailure(): void {
    this.#failuresInRow += 1;
  }

  /** Runs a call and notes its outcome. */
  async watch<Result>(call: () => Promise<Result>): Promise<Result> {
    try {
      const result = await call();
      this.noteSuccess();
      return result;
    } catch (error) {
      this.noteFailure();
      throw error;
    }
  }

  /**
   * What goes wrong: once the rater counts as down nobody calls it, so nobody sees it return; or each
   * request tries it and waits in vain. A small call now and then, off the request path, finds out.
   */
  async probeIfDown(): Promise<void> {
    const nowMs = Date.now();
    if (this.isUp() || nowMs - this.#probedAtMs < RATER_PROBE_MS) {
      return;
    }
    this.#probedAtMs = nowMs;
    await this.watch(() => this.#rater.fetchRatings(0, 1)).catch(() => undefined);
  }
}

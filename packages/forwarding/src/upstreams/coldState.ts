/** Whether an upstream is cold, and how many requests this daemon sent it recently. */

/** Sliding window in which the requests to a cold upstream are counted. */
export const COLD_WINDOW_MS = 1_000;

export class ColdState {
  #coldUntilMs = -Infinity;

  /** Times of the requests sent within the window, oldest first. */
  readonly #sentAtMs: number[] = [];

  /**
   * Extends the cold period, as reported by the upstream or assumed when nothing better is known.
   * Returns true if the upstream was not cold before.
   */
  markCold(coldMs: number, nowMs: number): boolean {
    const isNewlyCold = coldMs > 0 && !this.isCold(nowMs);
    this.#coldUntilMs = Math.max(this.#coldUntilMs, nowMs + coldMs);
    return isNewlyCold;
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.#coldUntilMs;
  }

  recordSent(nowMs: number): void {
    this.#dropOld(nowMs);
    this.#sentAtMs.push(nowMs);
  }

  /** Number of requests sent within the window that ends now. */
  countSent(nowMs: number): number {
    this.#dropOld(nowMs);
    return this.#sentAtMs.length;
  }

  /**
   * Time in ms until one more request fits into a limit of `share` requests per window, at most
   * until the upstream is warm.
   */
  getWaitMs(share: number, nowMs: number): number {
    const warmInMs = Math.max(0, this.#coldUntilMs - nowMs);
    const oldest = this.#sentAtMs.at(-share);
    const freeInMs = share > 0 && oldest !== undefined ? oldest + COLD_WINDOW_MS - nowMs : Infinity;
    return Math.min(warmInMs, Math.max(0, freeInMs));
  }

  #dropOld(nowMs: number): void {
    const isOld = (atMs: number): boolean => atMs <= nowMs - COLD_WINDOW_MS;
    while (isOld(this.#sentAtMs[0] ?? Infinity)) {
      this.#sentAtMs.shift();
    }
  }
}

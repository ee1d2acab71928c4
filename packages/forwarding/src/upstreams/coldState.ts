/** Whether an upstream is cold, and what this daemon sent it lately. */

/** The span over which a cold upstream's requests are counted, wherever it begins. */
export const COLD_WINDOW_MS = 1_000;

export class ColdState {
  #coldUntilMs = -Infinity;

  /** Of requests sent within the window, oldest first. */
  readonly #sentAtMs: number[] = [];

  /** It stays cold for so long, by its own word or because nobody can know better. True when that is news. */
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

  /** Requests sent within the window that ends now. */
  countSent(nowMs: number): number {
    this.#dropOld(nowMs);
    return this.#sentAtMs.length;
  }

  /** Until one more may go to it, of so many in any window; until it is warm at the latest. */
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

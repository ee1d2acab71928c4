/** For how long one incarnation of an upstream wants no requests from this daemon. */

export class BackOffState {
  #untilMs = -Infinity;

  /** A shorter back-off does not end a longer one that is in force. Returns true if it ends later. */
  extend(delayMs: number, nowMs: number): boolean {
    const untilMs = nowMs + delayMs;
    const isLonger = delayMs > 0 && untilMs > this.#untilMs;
    this.#untilMs = isLonger ? untilMs : this.#untilMs;
    return isLonger;
  }

  /** Time in ms until the upstream takes requests again; 0 if it does. */
  getRemainingMs(nowMs: number): number {
    return Math.max(0, this.#untilMs - nowMs);
  }
}

/**
 * For how long one incarnation of an upstream wants no requests from this daemon. After a back-off
 * one request tries the upstream, as all that were held off would otherwise arrive together.
 */

/** A trial without an answer yet is followed by another one after this. */
const TRIAL_INTERVAL_MS = 500;

export class BackOffState {
  #untilMs = -Infinity;

  #isOnTrial = false;

  #trialSentAtMs = -Infinity;

  /** A shorter back-off does not end a longer one that is in force. Returns true if it ends later. */
  extend(delayMs: number, nowMs: number): boolean {
    const untilMs = nowMs + delayMs;
    const isLonger = delayMs > 0 && untilMs > this.#untilMs;
    this.#untilMs = isLonger ? untilMs : this.#untilMs;
    this.#isOnTrial ||= isLonger;
    return isLonger;
  }

  /** Called for each request of this daemon. */
  recordSent(nowMs: number): void {
    if (this.#isOnTrial) {
      this.#trialSentAtMs = nowMs;
    }
  }

  /** Called for an answer that asked for no back-off, to a request sent at that time. */
  recordAccepted(sentAtMs: number): void {
    if (sentAtMs >= this.#untilMs) {
      this.#isOnTrial = false;
    }
  }

  /** Time in ms until this daemon may send one more request; 0 if it may now. */
  getWaitMs(nowMs: number): number {
    const nextTrialAtMs = this.#isOnTrial ? this.#trialSentAtMs + TRIAL_INTERVAL_MS : -Infinity;
    return Math.max(0, this.#untilMs - nowMs, nextTrialAtMs - nowMs);
  }
}

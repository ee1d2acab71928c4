/** Detects that the process was paused. */

/**
 * When a frozen process (SIGSTOP, a stalled host, a blocked event loop) resumes, all of its timers
 * are due at once. It would mistake its own pause for missing answers and suspect every member that
 * it was probing: several at the same moment. Code that judges by elapsed time calls `check` first,
 * whichever timer the runtime fires first.
 */
export class PauseDetector {
  readonly #thresholdMs: number;

  readonly #intervalMs: number;

  readonly #onPause: (pausedMs: number) => void;

  #lastMs = 0;

  #count = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(thresholdMs: number, intervalMs: number, onPause: (pausedMs: number) => void) {
    this.#thresholdMs = thresholdMs;
    this.#intervalMs = intervalMs;
    this.#onPause = onPause;
  }

  start(): void {
    this.#lastMs = performance.now();
    this.#timer = setInterval(() => this.check(), this.#intervalMs);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /**
   * Number of pauses so far. An operation that started under a different count cannot be judged by
   * elapsed time.
   */
  get count(): number {
    return this.#count;
  }

  check(): void {
    if (!this.#timer) {
      return;
    }
    const nowMs = performance.now();
    const pausedMs = nowMs - this.#lastMs - this.#intervalMs;
    this.#lastMs = nowMs;
    if (pausedMs > this.#thresholdMs) {
      this.#count += 1;
      this.#onPause(pausedMs);
    }
  }
}

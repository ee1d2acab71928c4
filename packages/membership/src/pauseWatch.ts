/** Notices that the process stood still. */

/**
 * What goes wrong: a frozen process (SIGSTOP, a stalled host, a blocked event loop) wakes up, finds all its
 * timers due and takes its own silence for that of others: it would suspect whomever it was probing. One
 * notices it by a member that suspects several others at the same moment. Everything that judges by
 * time asks `check` first, whichever timer the runtime fires first.
 */
export class PauseWatch {
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

  /** Pauses seen so far: what was begun under another count can't be judged by time. */
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

/** One-shot timer that fires at the earliest requested time. */
export class DueTimer {
  readonly #onDue: () => void;

  #cancel: (() => void) | undefined;

  #dueAtMs = Infinity;

  constructor(onDue: () => void) {
    this.#onDue = onDue;
  }

  /** Schedules the callback unless an earlier time is set; with 0 it runs after the current callback. */
  set(delayMs: number): void {
    const dueAtMs = Date.now() + delayMs;
    if (dueAtMs >= this.#dueAtMs) {
      return;
    }
    this.clear();
    this.#dueAtMs = dueAtMs;
    this.#cancel = delayMs === 0 ? this.#startImmediate() : this.#startTimer(delayMs);
  }

  clear(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    this.#dueAtMs = Infinity;
  }

  /** A 0 ms timer takes a whole millisecond, which would delay each request twice. */
  #startImmediate(): () => void {
    const immediate = setImmediate(() => this.#fire());
    return () => clearImmediate(immediate);
  }

  #startTimer(delayMs: number): () => void {
    const timer = setTimeout(() => this.#fire(), delayMs);
    timer.unref();
    return () => clearTimeout(timer);
  }

  #fire(): void {
    this.#dueAtMs = Infinity;
    this.#onDue();
  }
}

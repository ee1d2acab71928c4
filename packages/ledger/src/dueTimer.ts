/** Calls back once, at the earliest moment asked for. */
export class DueTimer {
  readonly #onDue: () => void;

  #cancel: (() => void) | undefined;

  #dueAtMs = Infinity;

  constructor(onDue: () => void) {
    this.#onDue = onDue;
  }

  /** Fires after the delay, unless an earlier moment was asked for; 0: after what runs now. */
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

  /** A timer of 0 ms waits for a whole millisecond, which each request would wait twice. */
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

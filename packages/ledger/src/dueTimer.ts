/** A timer that fires once, at the earliest moment asked for. */
export class DueTimer {
  readonly #onDue: () => void;

  #timer: NodeJS.Timeout | undefined;

  #dueAtMs = Infinity;

  constructor(onDue: () => void) {
    this.#onDue = onDue;
  }

  /** Fires after the delay, unless an earlier moment was asked for. */
  set(delayMs: number): void {
    const dueAtMs = Date.now() + delayMs;
    if (dueAtMs >= this.#dueAtMs) {
      return;
    }
    this.clear();
    this.#dueAtMs = dueAtMs;
    this.#timer = setTimeout(() => this.#fire(), delayMs);
    this.#timer.unref();
  }

  clear(): void {
    clearTimeout(this.#timer);
    this.#dueAtMs = Infinity;
  }

  #fire(): void {
    this.#dueAtMs = Infinity;
    this.#onDue();
  }
}

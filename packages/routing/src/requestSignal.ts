/** Aborts the work on a request at its deadline or when its caller disconnects. */

export type AbortReason = 'deadline' | 'callerGone';

/**
 * The abort signal of a request. It uses the global `setTimeout`, which tests can replace, unlike
 * the timer of `AbortSignal.timeout`.
 */
export class RequestSignal {
  readonly #controller = new AbortController();

  readonly #timer: NodeJS.Timeout;

  readonly #callerGone: AbortSignal;

  readonly #onCallerGone = (): void => this.#abort('callerGone');

  #reason: AbortReason | undefined;

  constructor(deadlineAtMs: number, callerGone: AbortSignal) {
    this.#callerGone = callerGone;
    this.#timer = setTimeout(() => this.#abort('deadline'), Math.max(0, deadlineAtMs - Date.now()));
    if (callerGone.aborted) {
      this.#abort('callerGone');
    } else {
      callerGone.addEventListener('abort', this.#onCallerGone, { once: true });
    }
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  get reason(): AbortReason | undefined {
    return this.#reason;
  }

  /** Stops a disconnect of the caller from aborting the work. */
  detachCaller(): void {
    this.#callerGone.removeEventListener('abort', this.#onCallerGone);
  }

  dispose(): void {
    clearTimeout(this.#timer);
    this.detachCaller();
  }

  #abort(reason: AbortReason): void {
    this.#reason ??= reason;
    this.#controller.abort();
  }
}

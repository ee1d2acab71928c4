/** When the work on a request ends early: at its deadline, or when its caller has gone. */

export type StopReason = 'deadline' | 'callerGone';

/**
 * One abort signal for a request. It runs on the runtime's `setTimeout`, which tests replace, unlike
 * `AbortSignal.timeout`.
 */
export class RequestSignal {
  readonly #controller = new AbortController();

  readonly #timer: NodeJS.Timeout;

  readonly #callerGone: AbortSignal;

  readonly #onGone = (): void => this.#stop('callerGone');

  #reason: StopReason | undefined;

  constructor(deadlineAtMs: number, callerGone: AbortSignal) {
    this.#callerGone = callerGone;
    this.#timer = setTimeout(() => this.#stop('deadline'), Math.max(0, deadlineAtMs - Date.now()));
    if (callerGone.aborted) {
      this.#stop('callerGone');
    } else {
      callerGone.addEventListener('abort', this.#onGone, { once: true });
    }
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  get reason(): StopReason | undefined {
    return this.#reason;
  }

  /** From now on the caller's going away no longer ends the work. */
  detachCaller(): void {
    this.#callerGone.removeEventListener('abort', this.#onGone);
  }

  dispose(): void {
    clearTimeout(this.#timer);
    this.detachCaller();
  }

  #stop(reason: StopReason): void {
    this.#reason ??= reason;
    this.#controller.abort();
  }
}

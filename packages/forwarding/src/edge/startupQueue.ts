/**
 * Queues requests that arrive while the daemon starts and has no routes yet, which it gets within
 * some tenths of a second. A caller refused meanwhile has used up one of its few attempts, and
 * callers that retry at the same moment reach other daemons that are starting too. The wait is
 * bounded, and only a daemon that has just started queues requests.
 */

/** Interval at which readiness is checked. */
const POLL_MS = 20;

/**
 * After this time a daemon that is still not ready refuses at once: it is not starting but
 * partitioned.
 */
const STARTUP_PHASE_MS = 1_500;

/** Maximum time that a request waits. */
const MAX_WAIT_MS = 500;

const MAX_QUEUED = 500;

interface QueuedRequest {
  readonly untilMs: number;
  readonly resume: () => void;
}

export class StartupQueue {
  readonly #isReady: () => boolean;

  readonly #startedAtMs = performance.now();

  #queue: QueuedRequest[] = [];

  #timer: NodeJS.Timeout | undefined;

  constructor(isReady: () => boolean) {
    this.#isReady = isReady;
  }

  /** Calls back at once, or when the daemon is ready, or when the maximum wait is over. */
  enqueue(resume: () => void): void {
    const nowMs = performance.now();
    const isStarting = nowMs - this.#startedAtMs < STARTUP_PHASE_MS;
    if (this.#isReady() || !isStarting || this.#queue.length >= MAX_QUEUED) {
      resume();
      return;
    }
    this.#queue.push({ untilMs: nowMs + MAX_WAIT_MS, resume });
    this.#timer ??= setInterval(() => this.#releaseDue(), POLL_MS).unref();
  }

  #releaseDue(): void {
    const isReady = this.#isReady();
    const nowMs = performance.now();
    const due = this.#queue.filter(({ untilMs }) => isReady || nowMs >= untilMs);
    this.#queue = this.#queue.filter((one) => !due.includes(one));
    if (this.#queue.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
    due.forEach(({ resume }) => resume());
  }
}

/**
 * Requests that come while the daemon starts and does not know yet where anything goes. It will within
 * some tenths of a second; a caller that is refused meanwhile has used up one of its few attempts, and
 * those that come back at the same moment meet daemons that start as well. Waiting is bounded, and only a
 * daemon that has just started lets anyone wait.
 */

/** How often is looked whether the daemon knows. */
const POLL_MS = 20;

/** After its start a daemon that still knows nothing refuses at once: it is not starting, it is cut off. */
const STARTUP_PHASE_MS = 1_500;

/** No request waits longer than this. */
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

  /** Calls back at once, or when the daemon knows, or when it does not in time. */
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

/** Notices when the event loop stood still: for how long, and which work held it up. */

/** Interval at which a timer is expected to fire on time. */
const CHECK_INTERVAL_MS = 250;

/** A timer that is later than this is reported. */
const MIN_STALL_MS = 200;

const US_PER_MS = 1_000;

/** Work that bytes from outside cause; `none`: nothing was noted yet. */
export type Activity = 'callerRequest' | 'upstreamAnswer' | 'storeAnswer' | 'datagram' | 'none';

export interface Stall {
  /** How late the timer was; the event loop stood still for at least so long. */
  readonly stalledMs: number;
  /**
   * Processor time of the process since the timer was due before. Far below `stalledMs`, the process did not
   * run: its VM was frozen or busy with others.
   */
  readonly processorMs: number;
  /** What had begun before the longest time without anything else, and its id. */
  readonly activity: Activity;
  readonly id: string;
}

export class StallMonitor {
  readonly #onStall: (stall: Stall) => void;

  #timer: NodeJS.Timeout | undefined;

  #checkedAtMs = 0;

  #processor = process.cpuUsage();

  #activity: Activity = 'none';

  #id = '';

  #notedAtMs = 0;

  #longest: Omit<Stall, 'processorMs' | 'stalledMs'> = { activity: 'none', id: '' };

  #longestMs = 0;

  constructor(onStall: (stall: Stall) => void) {
    this.#onStall = onStall;
  }

  start(): void {
    this.#reset(performance.now());
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Called when work begins; `id` identifies its request, upstream or sender. */
  note(activity: Activity, id: string): void {
    const nowMs = performance.now();
    this.#closeActivity(nowMs);
    this.#activity = activity;
    this.#id = id;
    this.#notedAtMs = nowMs;
  }

  #check(): void {
    const nowMs = performance.now();
    const stalledMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS;
    if (stalledMs >= MIN_STALL_MS) {
      this.#closeActivity(nowMs);
      const { user, system } = process.cpuUsage(this.#processor);
      this.#onStall({ stalledMs, processorMs: (user + system) / US_PER_MS, ...this.#longest });
    }
    this.#reset(nowMs);
  }

  #closeActivity(nowMs: number): void {
    const tookMs = nowMs - this.#notedAtMs;
    if (tookMs > this.#longestMs) {
      this.#longestMs = tookMs;
      this.#longest = { activity: this.#activity, id: this.#id };
    }
  }

  #reset(nowMs: number): void {
    this.#checkedAtMs = nowMs;
    this.#processor = process.cpuUsage();
    this.#activity = 'none';
    this.#id = '';
    this.#notedAtMs = nowMs;
    this.#longestMs = 0;
    this.#longest = { activity: 'none', id: '' };
  }
}

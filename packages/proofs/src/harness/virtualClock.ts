/** The runtime's clock under the harness's control. */
import { install, type Clock } from '@sinonjs/fake-timers';

const START_MS = Date.UTC(2026, 0, 5, 8);
const STEP_MS = 2;

/** Taken before the clock is replaced: lets all promises settle between two steps. */
const realSetImmediate = globalThis.setImmediate;

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    realSetImmediate(resolve);
  });

export class VirtualClock {
  readonly #clock: Clock;

  constructor() {
    this.#clock = install({
      now: START_MS,
      toFake: [
        'Date',
        'setTimeout',
        'clearTimeout',
        'setInterval',
        'clearInterval',
        'setImmediate',
        'clearImmediate',
        'performance',
      ],
    });
  }

  get nowMs(): number {
    return this.#clock.now;
  }

  /** Advances in small steps; promises settle after each. */
  async advance(durationMs: number, stepMs = STEP_MS): Promise<void> {
    for (let left = durationMs; left > 0; left -= stepMs) {
      this.#clock.tick(Math.min(stepMs, left));
      await settle();
    }
  }

  /** Advances until the condition holds; false when the time is over before. */
  async advanceUntil(isDone: () => boolean, limitMs: number): Promise<boolean> {
    const endMs = this.nowMs + limitMs;
    await settle();
    while (!isDone() && this.nowMs < endMs) {
      await this.advance(STEP_MS);
    }
    return isDone();
  }

  /** Moves wall time without running timers, as a corrected system clock does. */
  jump(offsetMs: number): void {
    this.#clock.setSystemTime(this.#clock.now + offsetMs);
  }

  uninstall(): void {
    this.#clock.uninstall();
  }
}

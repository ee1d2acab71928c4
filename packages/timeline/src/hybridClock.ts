/** A hybrid logical clock: near wall time, and never before anything that was heard of. */
import type { HybridTime } from './types.js';

/** Compares two moments; negative when the first is earlier. */
export const compareHybridTimes = (a: HybridTime, b: HybridTime): number =>
  a.wallMs - b.wallMs || a.counter - b.counter;

export class HybridClock {
  #last: HybridTime = { wallMs: 0, counter: 0 };

  /** The moment of a new local event. */
  tick(): HybridTime {
    const wallMs = Math.max(Date.now(), this.#last.wallMs);
    const counter = wallMs === this.#last.wallMs ? this.#last.counter + 1 : 0;
    this.#last = { wallMs, counter };
    return this.#last;
  }

  /** The latest moment, sent along with messages. */
  now(): HybridTime {
    return this.#last;
  }

  /** Takes in the moment that came with a message. */
  observe(remote: HybridTime): void {
    if (compareHybridTimes(remote, this.#last) > 0) {
      this.#last = remote;
    }
  }
}

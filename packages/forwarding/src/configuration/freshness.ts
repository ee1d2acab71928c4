/**
 * How old what we know of the store may be. A machine that was suspended wakes with a steady clock
 * that did not count the pause, so a configuration confirmed before it looks fresh and revoked keys
 * would still be let in. The time of day counted the pause; the older of both readings is taken. A
 * time of day that jumps forward makes knowledge look older, which is safe: it is confirmed anew.
 */

interface ClockReading {
  readonly steadyMs: number;
  readonly timeOfDayMs: number;
}

export const readClocks = (): ClockReading => ({
  steadyMs: performance.now(),
  timeOfDayMs: Date.now(),
});

export class Freshness {
  #confirmed: ClockReading | undefined;

  /** Confirms by an answer; the reading is from when its question was sent. */
  confirm(asked: ClockReading): void {
    this.#confirmed = asked;
  }

  /** Infinite before the first confirmation. */
  get ageMs(): number {
    if (this.#confirmed === undefined) {
      return Infinity;
    }
    const now = readClocks();
    return Math.max(
      now.steadyMs - this.#confirmed.steadyMs,
      now.timeOfDayMs - this.#confirmed.timeOfDayMs,
    );
  }
}

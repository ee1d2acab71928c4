/**
 * How old what we know of the store may be. A machine that was suspended wakes with a steady clock
 * that did not count the pause, so a configuration confirmed before it looks fresh and revoked keys
 * would still be let in. The time of day counted the pause; the older of both readings is taken. A
 * time of day that jumps forward makes knowledge look older, which is safe: it is confirmed anew.
 */

export interface ClockReading {
  readonly steadyMs: number;
  readonly timeOfDayMs: number;
}

export const readClocks = (): ClockReading => ({
  steadyMs: performance.now(),
  timeOfDayMs: Date.now(),
});

/** How far the time of day is ahead of the steady clock; it changes by jumps and by suspensions. */
const getAhead = ({ steadyMs, timeOfDayMs }: ClockReading): number => timeOfDayMs - steadyMs;

/** The time of day drifts by less than this between two answers of the store. */
const MAX_DRIFT_MS = 50;

/** An answer of the store: when it was asked for, and the store's steady clock as it answered. */
export interface StoreAnswer {
  readonly asked: ClockReading;
  readonly serverTimeMs: number;
}

export class Freshness {
  #confirmed: ClockReading | undefined;

  /** The least that our steady clock can be ahead of the store's, and the clocks when that was found. */
  #offset: { readonly leastMs: number; readonly ahead: number } | undefined;

  /**
   * Confirms what is known by an answer of the store. An answer held back by the store tells its state at the
   * answer, not at the question, two or three seconds earlier: that moment is known by the store's steady
   * clock, as all earlier answers came after their questions. Where the clocks jumped since, only
   * the question's time is sure.
   */
  confirm({ asked, serverTimeMs }: StoreAnswer): void {
    const now = readClocks();
    const ahead = getAhead(now);
    const isOffsetSound =
      this.#offset !== undefined &&
      Math.abs(this.#offset.ahead - ahead) < MAX_DRIFT_MS &&
      Math.abs(getAhead(asked) - ahead) < MAX_DRIFT_MS;
    const leastMs = asked.steadyMs - serverTimeMs;
    if (!isOffsetSound || this.#offset === undefined) {
      this.#offset = { leastMs, ahead };
      this.#confirmed = asked;
      return;
    }
    this.#offset = { leastMs: Math.max(leastMs, this.#offset.leastMs), ahead };
    const steadyMs = Math.max(asked.steadyMs, serverTimeMs + this.#offset.leastMs);
    this.#confirmed = { steadyMs, timeOfDayMs: steadyMs + ahead };
  }

  /**
   * Confirms by what another daemon heard of the store at that time on the store's steady clock. False when
   * our offset to that clock is not sure, as after a step of the time of day: only an answer of the store to
   * ourselves finds it anew. A follower that went on with others' news refused keyed requests from then on.
   */
  confirmByPeer(serverTimeMs: number): boolean {
    const ahead = getAhead(readClocks());
    const offset = this.#offset;
    if (offset === undefined || Math.abs(offset.ahead - ahead) >= MAX_DRIFT_MS) {
      return false;
    }
    const steadyMs = serverTimeMs + offset.leastMs;
    if (this.#confirmed !== undefined && steadyMs > this.#confirmed.steadyMs) {
      this.#confirmed = { steadyMs, timeOfDayMs: steadyMs + ahead };
    }
    return true;
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

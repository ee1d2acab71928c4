/**
 * The maximum age of what is known of the store. The monotonic clock of a suspended machine does
 * not count the pause, so a configuration confirmed before it would look fresh and revoked keys
 * would be accepted. The wall clock counts the pause, so the greater age of both clocks is used. A
 * wall clock that steps forward only makes the state look older, which is safe: it is confirmed
 * again.
 */
import {
  StoreClock,
  getClockOffsetMs,
  isSameClockOffset,
  readClocks,
  type ClockReading,
} from './storeClock.js';

/**
 * An answer of the store: when it was requested, and the store's monotonic clock when it answered.
 */
export interface StoreAnswer {
  readonly asked: ClockReading;
  readonly serverTimeMs: number;
}

export class Freshness {
  readonly #clock: StoreClock;

  #confirmed: ClockReading | undefined;

  constructor(clock: StoreClock = new StoreClock()) {
    this.#clock = clock;
  }

  /**
   * Confirms the state by an answer of the store. An answer that the store held back shows its
   * state at the time of the answer, two or three seconds after the request. That time is derived
   * from the store's monotonic clock, because all earlier answers came after their requests. If one
   * of the clocks has stepped since, only the time of the request is certain.
   */
  confirm({ asked, serverTimeMs }: StoreAnswer): void {
    const clockOffsetMs = getClockOffsetMs(readClocks());
    const wasCertain = this.#clock.noteAnswer(asked.steadyMs, serverTimeMs);
    const answeredAtMs = this.#clock.toSteadyMs(serverTimeMs);
    if (
      !wasCertain ||
      answeredAtMs === undefined ||
      !isSameClockOffset(getClockOffsetMs(asked), clockOffsetMs)
    ) {
      this.#confirmed = asked;
      return;
    }
    const steadyMs = Math.max(asked.steadyMs, answeredAtMs);
    this.#confirmed = { steadyMs, timeOfDayMs: steadyMs + clockOffsetMs };
  }

  /**
   * Confirms the state by what another daemon received at that time of the store's monotonic clock.
   * Returns false if the offset to that clock is not certain, as after a step of the wall clock;
   * only an answer to an own request restores it. A follower that went on with reports of others
   * refused keyed requests from then on.
   */
  confirmByPeer(serverTimeMs: number): boolean {
    const steadyMs = this.#clock.toSteadyMs(serverTimeMs);
    if (steadyMs === undefined) {
      return false;
    }
    if (steadyMs > (this.#confirmed?.steadyMs ?? -Infinity)) {
      this.#confirmed = { steadyMs, timeOfDayMs: steadyMs + getClockOffsetMs(readClocks()) };
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

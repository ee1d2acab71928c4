/**
 * How old what we know of the store may be. A machine that was suspended wakes with a steady clock
 * that did not count the pause, so a configuration confirmed before it looks fresh and revoked keys
 * would still be let in. The time of day counted the pause; the older of both readings is taken. A
 * time of day that jumps forward makes knowledge look older, which is safe: it is confirmed anew.
 */
import { StoreClock, getAhead, isSameAhead, readClocks, type ClockReading } from './storeClock.js';

/** An answer of the store: when it was asked for, and the store's steady clock as it answered. */
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
   * Confirms what is known by an answer of the store. An answer held back by the store tells its state
   * at the answer, not at the question, two or three seconds earlier: that moment is known by the
   * store's steady clock, as all earlier answers came after their questions. Where the clocks jumped
   * since, only the question's time is sure.
   */
  confirm({ asked, serverTimeMs }: StoreAnswer): void {
    const ahead = getAhead(readClocks());
    const wasSure = this.#clock.noteAnswer(asked.steadyMs, serverTimeMs);
    const answeredMs = this.#clock.toSteadyMs(serverTimeMs);
    if (!wasSure || answeredMs === undefined || !isSameAhead(getAhead(asked), ahead)) {
      this.#confirmed = asked;
      return;
    }
    const steadyMs = Math.max(asked.steadyMs, answeredMs);
    this.#confirmed = { steadyMs, timeOfDayMs: steadyMs + ahead };
  }

  /**
   * Confirms by what another daemon heard of the store at that time on the store's steady clock. False
   * when our offset to that clock is not sure, as after a step of the time of day: only an answer to a
   * question of ours finds it anew. A follower that went on with others' news refused keyed requests
   * from then on.
   */
  confirmByPeer(serverTimeMs: number): boolean {
    const steadyMs = this.#clock.toSteadyMs(serverTimeMs);
    if (steadyMs === undefined) {
      return false;
    }
    if (steadyMs > (this.#confirmed?.steadyMs ?? -Infinity)) {
      this.#confirmed = { steadyMs, timeOfDayMs: steadyMs + getAhead(readClocks()) };
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

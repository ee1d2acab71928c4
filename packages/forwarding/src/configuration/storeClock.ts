/**
 * The store's steady clock, as far as this daemon can tell it from its own: by answers of the store, or
 * by what another daemon knows of it. All that is dated by the store's clock goes by this one.
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
export const getAhead = ({ steadyMs, timeOfDayMs }: ClockReading): number => timeOfDayMs - steadyMs;

/** The time of day drifts by less than this between two answers of the store. */
const MAX_DRIFT_MS = 50;

export const isSameAhead = (a: number, b: number): boolean => Math.abs(a - b) < MAX_DRIFT_MS;

interface Offset {
  /** The least that our steady clock can be ahead of the store's. */
  readonly leastMs: number;
  /** Of our clocks when that was found: where it differs, one of them jumped, or stood still. */
  readonly ahead: number;
}

export class StoreClock {
  #offset: Offset | undefined;

  /**
   * An answer came after its question, so the store's clock stood there no earlier than ours at the
   * question. False when the offset was not known, or not sure any more, until now.
   */
  noteAnswer(askedSteadyMs: number, serverTimeMs: number): boolean {
    return this.#noteLeast(askedSteadyMs - serverTimeMs);
  }

  /**
   * Another daemon said, after our question, that the store's clock showed at most this. It is as sure
   * as an answer of the store, and looser by the way between the daemons.
   */
  noteBound(askedSteadyMs: number, storeNowAtMostMs: number): void {
    this.#noteLeast(askedSteadyMs - storeNowAtMostMs);
  }

  /** Our steady clock at that moment, or earlier; undefined where the offset is not sure. */
  toSteadyMs(serverTimeMs: number): number | undefined {
    const offset = this.#getSoundOffset();
    return offset === undefined ? undefined : serverTimeMs + offset.leastMs;
  }

  /** What the store's clock shows now at most; undefined where the offset is not sure. */
  get nowAtMostMs(): number | undefined {
    const offset = this.#getSoundOffset();
    return offset === undefined ? undefined : performance.now() - offset.leastMs;
  }

  /** The store's clock less ours when last found, sure or not; undefined before. */
  get lastOffsetMs(): number | undefined {
    return this.#offset === undefined ? undefined : -this.#offset.leastMs;
  }

  #getSoundOffset(): Offset | undefined {
    const offset = this.#offset;
    return offset !== undefined && isSameAhead(offset.ahead, getAhead(readClocks()))
      ? offset
      : undefined;
  }

  #noteLeast(leastMs: number): boolean {
    const sound = this.#getSoundOffset();
    const ahead = getAhead(readClocks());
    this.#offset = { leastMs: Math.max(leastMs, sound?.leastMs ?? -Infinity), ahead };
    return sound !== undefined;
  }
}

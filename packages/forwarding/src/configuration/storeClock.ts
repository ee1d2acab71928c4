/**
 * Estimates the store's monotonic clock relative to this daemon's, from answers of the store or
 * from bounds sent by other daemons. All timestamps of the store are converted by it.
 */

export interface ClockReading {
  readonly steadyMs: number;
  readonly timeOfDayMs: number;
}

export const readClocks = (): ClockReading => ({
  steadyMs: performance.now(),
  timeOfDayMs: Date.now(),
});

/**
 * The offset of the wall clock from the monotonic clock; it changes when the clock steps and when
 * the machine is suspended.
 */
export const getClockOffsetMs = ({ steadyMs, timeOfDayMs }: ClockReading): number =>
  timeOfDayMs - steadyMs;

/** The wall clock drifts by less than this between two answers of the store. */
const MAX_DRIFT_MS = 50;

export const isSameClockOffset = (a: number, b: number): boolean => Math.abs(a - b) < MAX_DRIFT_MS;

/** Bounds of a time on the store's monotonic clock. */
export interface StoreTimeBounds {
  readonly atMostMs: number;
  readonly atLeastMs?: number;
}

interface Offset {
  /** Lower bound of our monotonic clock minus the store's. */
  readonly leastMs: number;
  /** Upper bound; Infinity if only upper bounds of the store's time were received. */
  readonly mostMs: number;
  /**
   * The offset of our own clocks when the bounds were found. If it has changed, a clock has stepped
   * or stood still.
   */
  readonly clockOffsetMs: number;
}

/** False if the store's clock has been set since the offset was found. */
const isPossible = (known: Offset, leastMs: number, mostMs: number): boolean =>
  leastMs <= known.mostMs + MAX_DRIFT_MS && mostMs >= known.leastMs - MAX_DRIFT_MS;

export class StoreClock {
  #offset: Offset | undefined;

  /**
   * The store's clock showed `serverTimeMs` after the request was sent and before now, which bounds
   * the offset. Returns false if the offset was unknown, or no longer certain, until now.
   */
  noteAnswer(askedSteadyMs: number, serverTimeMs: number): boolean {
    return this.#updateOffset(askedSteadyMs - serverTimeMs, performance.now() - serverTimeMs);
  }

  /**
   * Uses bounds of the store's time that another daemon sent after our request. They are as certain
   * as an answer of the store, and wider by the time between the daemons.
   */
  noteBounds(askedSteadyMs: number, { atMostMs, atLeastMs = -Infinity }: StoreTimeBounds): void {
    this.#updateOffset(askedSteadyMs - atMostMs, performance.now() - atLeastMs);
  }

  /** Our monotonic clock at that time or earlier; undefined if the offset is not certain. */
  toSteadyMs(serverTimeMs: number): number | undefined {
    const offset = this.#getValidOffset();
    return offset === undefined ? undefined : serverTimeMs + offset.leastMs;
  }

  /**
   * Our monotonic clock at that time or later; undefined if the offset or its upper bound is not
   * certain.
   */
  toLatestSteadyMs(serverTimeMs: number): number | undefined {
    const mostMs = this.#getValidOffset()?.mostMs ?? Infinity;
    return mostMs === Infinity ? undefined : serverTimeMs + mostMs;
  }

  /**
   * Bounds of the store's time at a time of our monotonic clock; undefined if the offset is not
   * certain.
   */
  toStoreBounds(steadyMs: number): StoreTimeBounds | undefined {
    const offset = this.#getValidOffset();
    if (offset === undefined) {
      return undefined;
    }
    const atMostMs = steadyMs - offset.leastMs;
    return offset.mostMs === Infinity
      ? { atMostMs }
      : { atMostMs, atLeastMs: steadyMs - offset.mostMs };
  }

  /**
   * The last known offset of the store's clock from ours, certain or not; undefined before the
   * first.
   */
  get lastOffsetMs(): number | undefined {
    return this.#offset === undefined ? undefined : -this.#offset.leastMs;
  }

  #getValidOffset(): Offset | undefined {
    const offset = this.#offset;
    return offset !== undefined &&
      isSameClockOffset(offset.clockOffsetMs, getClockOffsetMs(readClocks()))
      ? offset
      : undefined;
  }

  #updateOffset(leastMs: number, mostMs: number): boolean {
    const known = this.#getValidOffset();
    const valid = known !== undefined && isPossible(known, leastMs, mostMs) ? known : undefined;
    this.#offset = {
      leastMs: Math.max(leastMs, valid?.leastMs ?? -Infinity),
      mostMs: Math.min(mostMs, valid?.mostMs ?? Infinity),
      clockOffsetMs: getClockOffsetMs(readClocks()),
    };
    return valid !== undefined;
  }
}

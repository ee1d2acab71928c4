/**
 * Bounds of the time at which a roll-out was ordered. Neither the operator nor the store dates an
 * order: a daemon knows when it learned of the order and when it last knew that there was none, and
 * adopts the bounds in the status row.
 */
import type { RolloutElapsed } from '@snipehaven/policy';
import type { StoreClock } from '../configuration/storeClock.js';
import type { StoredStart } from './types.js';

export class RolloutStart {
  readonly #clock: StoreClock;

  /**
   * Latest possible time of the order, on `performance.now()` like all times that are not the
   * store's.
   */
  #latestMs = performance.now();

  #earliestMs: number | undefined;

  #stored: StoredStart | undefined;

  /** `givenWithinMs`: upper bound of the order's age; undefined if this daemon cannot know it. */
  constructor(clock: StoreClock, givenWithinMs: number | undefined) {
    this.#clock = clock;
    this.#earliestMs = givenWithinMs === undefined ? undefined : this.#latestMs - givenWithinMs;
  }

  noteStored({ afterStoreMs, beforeStoreMs }: StoredStart): void {
    this.#stored = { afterStoreMs, beforeStoreMs };
    this.#applyStored();
  }

  /** Whether there is a lower bound of the time of the order. */
  get isKnown(): boolean {
    return this.#earliestMs !== undefined || this.#stored !== undefined;
  }

  get elapsed(): RolloutElapsed {
    this.#applyStored();
    const nowMs = performance.now();
    return {
      atLeastMs: nowMs - this.#latestMs,
      atMostMs: nowMs - (this.#earliestMs ?? this.#latestMs),
    };
  }

  /** Bounds for the status row; undefined while the offset of the store's clock is unknown. */
  toStored(): StoredStart | undefined {
    if (this.#stored !== undefined) {
      return this.#stored;
    }
    const before = this.#clock.toStoreBounds(this.#latestMs);
    const after = this.#clock.toStoreBounds(this.#earliestMs ?? this.#latestMs);
    return (
      before &&
      after && {
        afterStoreMs: Math.floor(after.atLeastMs ?? after.atMostMs),
        beforeStoreMs: Math.ceil(before.atMostMs),
      }
    );
  }

  /**
   * Converted on each use, as the offset to the store's clock becomes more precise or is lost for a
   * while.
   */
  #applyStored(): void {
    if (this.#stored === undefined) {
      return;
    }
    // Replaces a closer bound of this daemon: all daemons are to take steps at the same time.
    this.#latestMs = this.#clock.toLatestSteadyMs(this.#stored.beforeStoreMs) ?? this.#latestMs;
    this.#earliestMs = this.#clock.toSteadyMs(this.#stored.afterStoreMs) ?? this.#earliestMs;
  }
}

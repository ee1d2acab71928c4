/**
 * When a roll-out was ordered, between bounds. An order is dated neither by the operator nor by the store:
 * a daemon knows when it learned of the order and when it last knew that there was none, and takes over
 * what the status row says of the same.
 */
import type { RolloutElapsed } from '@snipehaven/policy';
import type { StoreClock } from '../configuration/storeClock.js';
import type { StoredStart } from './types.js';

export class RolloutStart {
  readonly #clock: StoreClock;

  /** On `performance.now()`, as all that is not of the store. */
  #latestMs = performance.now();

  #earliestMs: number | undefined;

  #stored: StoredStart | undefined;

  /** `givenWithinMs`: the order is at most this old; undefined where nobody here can know. */
  constructor(clock: StoreClock, givenWithinMs: number | undefined) {
    this.#clock = clock;
    this.#earliestMs = givenWithinMs === undefined ? undefined : this.#latestMs - givenWithinMs;
  }

  noteStored({ afterStoreMs, beforeStoreMs }: StoredStart): void {
    this.#stored = { afterStoreMs, beforeStoreMs };
    this.#applyStored();
  }

  /** Whether more is known than that there is an order. */
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

  /** For the status row; undefined while the store's clock is not known. */
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

  /** Each time anew: our clock's offset to the store's is known better later, or lost for a while. */
  #applyStored(): void {
    if (this.#stored === undefined) {
      return;
    }
    const latestMs = this.#clock.toLatestSteadyMs(this.#stored.beforeStoreMs);
    this.#latestMs = Math.min(this.#latestMs, latestMs ?? Infinity);
    this.#earliestMs = this.#clock.toSteadyMs(this.#stored.afterStoreMs) ?? this.#earliestMs;
  }
}

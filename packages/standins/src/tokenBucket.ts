/** Rate limit by a token bucket on the runtime's clock. */
import { MS_PER_SECOND } from './constants.js';
import { RateLimitedError } from './errors.js';

/** Lets through `ratePerSecond` units on average, `burst` at once. */
export class TokenBucket {
  #ratePerSecond: number;

  #burst: number;

  #available: number;

  #filledAtMs = performance.now();

  constructor(ratePerSecond: number, burst: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#available = burst;
  }

  setRate(ratePerSecond: number, burst: number): void {
    this.#fill();
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#available = Math.min(this.#available, burst);
  }

  /**
   * Takes the units or throws {@link RateLimitedError}. A call of more units than the burst passes
   * when the bucket is full and leaves it in debt, as it could never pass otherwise.
   */
  take(units: number): void {
    this.#fill();
    const required = Math.min(units, this.#burst);
    if (this.#available < required) {
      throw new RateLimitedError(this.#getWaitMs(required));
    }
    this.#available -= units;
  }

  #fill(): void {
    const nowMs = performance.now();
    const gained = ((nowMs - this.#filledAtMs) / MS_PER_SECOND) * this.#ratePerSecond;
    this.#available = Math.min(this.#burst, this.#available + gained);
    this.#filledAtMs = nowMs;
  }

  #getWaitMs(required: number): number {
    return ((required - this.#available) / this.#ratePerSecond) * MS_PER_SECOND;
  }
}

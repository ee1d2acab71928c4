/**
 * This daemon's part of the budget for a service's repeats. All daemons share one budget: a ratio
 * of the requests plus a constant slack. Each daemon stays within the ratio of its own requests, so
 * the total does too, without communication. Prevents retry storms, in which a failing service
 * receives each request twice.
 */

export interface RepeatBudgetSettings {
  readonly ratio: number;
  /** Constant number of repeats allowed in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

interface CountedRequest {
  readonly atMs: number;
  readonly isRepeat: boolean;
}

export type RepeatPurpose = 'failure' | 'quality';

/**
 * Fraction of the ratio that a daemon uses. The margin covers the sliding window and the fact that
 * the total's requests are counted separately.
 */
const SAFETY_FACTOR = 0.92;

/**
 * Fraction of the budget available for repeats that seek a better answer; the rest is reserved for
 * repeats after failures.
 */
const QUALITY_FRACTION = 0.88;

export class RepeatBudget {
  readonly #settings: RepeatBudgetSettings;

  #counts: CountedRequest[] = [];

  #repeats = 0;

  constructor(settings: RepeatBudgetSettings) {
    this.#settings = settings;
  }

  /** Number of requests and repeats in the window. */
  get size(): number {
    return this.#counts.length;
  }

  countFirst(nowMs: number): void {
    this.#dropOld(nowMs);
    this.#counts.push({ atMs: nowMs, isRepeat: false });
  }

  /** Takes one repeat from the budget; returns false if none is left. */
  tryRepeat(purpose: RepeatPurpose, nowMs: number): boolean {
    this.#dropOld(nowMs);
    const requests = this.#counts.length - this.#repeats;
    const part = purpose === 'quality' ? QUALITY_FRACTION : 1;
    const allowed = (requests * this.#settings.ratio * SAFETY_FACTOR + this.#settings.slack) * part;
    if (this.#repeats + 1 > allowed) {
      return false;
    }
    this.#counts.push({ atMs: nowMs, isRepeat: true });
    this.#repeats += 1;
    return true;
  }

  #dropOld(nowMs: number): void {
    const oldest = nowMs - this.#settings.windowMs;
    const keepFrom = this.#counts.findIndex((count) => count.atMs > oldest);
    const dropped = this.#counts.splice(0, keepFrom < 0 ? this.#counts.length : keepFrom);
    this.#repeats -= dropped.filter((count) => count.isRepeat).length;
  }
}

/**
 * This daemon's part of the repeats that a service gets. All daemons share one budget, a ratio of the
 * requests and a slack; each keeps to the ratio of its own requests, so that the sum holds without
 * asking the others. Guards against a retry storm: a failing service that gets each request twice.
 */

export interface RepeatBudgetSettings {
  readonly ratio: number;
  /** Repeats allowed beside the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Count {
  readonly atMs: number;
  readonly isRepeat: boolean;
}

export type RepeatPurpose = 'failure' | 'quality';

/** Part of the ratio that one daemon uses: windows slide, and the requests of the sum are counted apart. */
const OWN_PART = 0.92;

/** Repeats for a better answer leave the rest of the budget to repeats after failures. */
const QUALITY_PART = 0.88;

export class RepeatBudget {
  readonly #settings: RepeatBudgetSettings;

  #counts: Count[] = [];

  #repeats = 0;

  constructor(settings: RepeatBudgetSettings) {
    this.#settings = settings;
  }

  /** Requests and repeats remembered. */
  get size(): number {
    return this.#counts.length;
  }

  countFirst(nowMs: number): void {
    this.#dropOld(nowMs);
    this.#counts.push({ atMs: nowMs, isRepeat: false });
  }

  /** Takes one repeat; false when none is left. */
  tryRepeat(purpose: RepeatPurpose, nowMs: number): boolean {
    this.#dropOld(nowMs);
    const firsts = this.#counts.length - this.#repeats;
    const part = purpose === 'quality' ? QUALITY_PART : 1;
    const allowed = (firsts * this.#settings.ratio * OWN_PART + this.#settings.slack) * part;
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

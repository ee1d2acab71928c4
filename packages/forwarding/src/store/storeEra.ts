/**
 * The newest era of the store that this daemon knows of. A new era begins each time the store comes
 * back from a copy: it has lost its last changes, and gives their versions out again.
 */

/** Longer than any time that is counted from the beginning of an era. */
const MAX_TOLD_AGE_MS = 60_000;

/** Daemons take an era for true that others name, so a malformed one must not pass. */
export const isEra = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

export const isEraAge = (value: unknown): value is number =>
  Number.isFinite(value) && (value as number) >= 0;

/** An era and the time for which it has lasted at least. */
export interface EraAge {
  readonly era: number;
  readonly ageMs: number;
}

/** `before` is undefined when an era is known for the first time. */
export type EraListener = (era: number, before: number | undefined, source: string) => void;

export class StoreEra {
  /** Undefined before the first answer or message. */
  #newest: number | undefined;

  /** When this daemon learned of the newest era; unknown if it did not know an earlier one. */
  #learnedAtMs = -Infinity;

  /** The earliest time at which any daemon is known to have seen the newest era. */
  #beganAtMs = -Infinity;

  readonly #riseListeners: EraListener[] = [];

  readonly #beginningListeners: (() => void)[] = [];

  /** 0 before the first answer or message, as for a store that names no era. */
  get newest(): number {
    return this.#newest ?? 0;
  }

  /** Time in ms since the newest era began; Infinity if no daemon is known to have seen that. */
  get ageMs(): number {
    return performance.now() - this.#beganAtMs;
  }

  /** How much later than others this daemon learned of the newest era, in ms. */
  get lateMs(): number {
    return this.#learnedAtMs === -Infinity ? 0 : this.#learnedAtMs - this.#beganAtMs;
  }

  onRise(listener: EraListener): void {
    this.#riseListeners.push(listener);
  }

  /** Registers a listener for the news that the newest era began earlier than known. */
  onEarlierBeginning(listener: () => void): void {
    this.#beginningListeners.push(listener);
  }

  /** The newest era as told to others; undefined if its age is unknown. */
  get toldAge(): EraAge | undefined {
    const ageMs = Math.min(MAX_TOLD_AGE_MS, Math.round(this.ageMs));
    return this.#beganAtMs === -Infinity ? undefined : { era: this.newest, ageMs };
  }

  /**
   * `source`: the client or daemon that the era was learned from; `atLeastMs`: age of the era that
   * it told. Returns true if the era is newer than all before.
   */
  observe(era: number, source: string, atLeastMs?: number): boolean {
    const before = this.#newest;
    const isRise = before === undefined || era > before;
    if (isRise) {
      this.#newest = era;
      this.#learnedAtMs = before === undefined ? -Infinity : performance.now();
      this.#beganAtMs = this.#learnedAtMs;
    }
    if (era === this.#newest && atLeastMs !== undefined) {
      this.#noteBeginning(performance.now() - atLeastMs);
    }
    if (isRise) {
      this.#riseListeners.forEach((listener) => listener(era, before, source));
    }
    return isRise;
  }

  #noteBeginning(beganAtMs: number): void {
    const isUnknown = this.#beganAtMs === -Infinity;
    if (isUnknown || beganAtMs < this.#beganAtMs) {
      this.#beganAtMs = beganAtMs;
      this.#beginningListeners.forEach((listener) => listener());
    }
  }
}

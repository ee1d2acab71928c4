/**
 * The newest era of the store that this daemon knows of. A new era begins each time the store comes
 * back from a copy: it has lost its last changes, and gives their versions out again.
 */

/** Daemons take an era for true that others name, so a malformed one must not pass. */
export const isEra = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/** `before` is undefined when an era is known for the first time. */
export type EraListener = (era: number, before: number | undefined, source: string) => void;

export class StoreEra {
  /** Undefined before the first answer or message. */
  #newest: number | undefined;

  #sinceMs = -Infinity;

  readonly #listeners: EraListener[] = [];

  /** 0 before the first answer or message, as for a store that names no era. */
  get newest(): number {
    return this.#newest ?? 0;
  }

  /** Time in ms since this daemon saw the newest era begin; Infinity if it did not. */
  get ageMs(): number {
    return performance.now() - this.#sinceMs;
  }

  onRise(listener: EraListener): void {
    this.#listeners.push(listener);
  }

  /** `source`: the client or daemon that the era was learned from. */
  observe(era: number, source: string): void {
    const before = this.#newest;
    if (before === undefined || era > before) {
      this.#newest = era;
      this.#sinceMs = before === undefined ? -Infinity : performance.now();
      this.#listeners.forEach((listener) => listener(era, before, source));
    }
  }
}

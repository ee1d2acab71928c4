/** Sessions that were looked up a moment ago and not found: bounded, oldest first to go. */
import { MAX_RECENT_MISSES } from './constants.js';

export class RecentMisses {
  readonly #freshMs: number;

  readonly #missedAtMs = new Map<string, number>();

  constructor(freshMs: number) {
    this.#freshMs = freshMs;
  }

  note(key: string): void {
    this.#missedAtMs.delete(key);
    this.#missedAtMs.set(key, Date.now());
    const [oldest] = this.#missedAtMs.keys();
    if (oldest !== undefined && this.#missedAtMs.size > MAX_RECENT_MISSES) {
      this.#missedAtMs.delete(oldest);
    }
  }

  has(key: string): boolean {
    const missedAtMs = this.#missedAtMs.get(key);
    return missedAtMs !== undefined && Date.now() - missedAtMs < this.#freshMs;
  }
}

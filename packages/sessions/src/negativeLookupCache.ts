/** Caches sessions that were recently looked up and not found; the oldest is evicted first. */
import { MAX_CACHED_MISSES } from './constants.js';

export class NegativeLookupCache {
  readonly #ttlMs: number;

  readonly #missedAtMs = new Map<string, number>();

  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  add(key: string): void {
    this.#missedAtMs.delete(key);
    this.#missedAtMs.set(key, Date.now());
    const [oldest] = this.#missedAtMs.keys();
    if (oldest !== undefined && this.#missedAtMs.size > MAX_CACHED_MISSES) {
      this.#missedAtMs.delete(oldest);
    }
  }

  has(key: string): boolean {
    const missedAtMs = this.#missedAtMs.get(key);
    return missedAtMs !== undefined && Date.now() - missedAtMs < this.#ttlMs;
  }
}

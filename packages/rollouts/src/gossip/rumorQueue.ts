/** News that is sent along a bounded number of times, the least often sent first. */

export class RumorQueue {
  /** Keys by the number of times that they were sent. */
  readonly #levels: Set<string>[] = [];

  /** Spreads the key's news anew. */
  push(key: string): void {
    this.#levels.forEach((level) => level.delete(key));
    this.#getLevel(0).add(key);
  }

  /**
   * The keys to send now: asks for them one after another until `add` returns false for no more room.
   * Each is dropped after it was sent `transmits` times.
   */
  take(transmits: number, add: (key: string) => boolean): void {
    const queued = this.#levels.flatMap((level, sent) => [...level].map((key) => ({ key, sent })));
    for (const { key, sent } of queued) {
      if (!add(key)) {
        return;
      }
      this.#moveOn(key, sent, transmits);
    }
  }

  get size(): number {
    return this.#levels.reduce((sum, level) => sum + level.size, 0);
  }

  #moveOn(key: string, sent: number, transmits: number): void {
    this.#getLevel(sent).delete(key);
    if (sent + 1 < transmits) {
      this.#getLevel(sent + 1).add(key);
    }
  }

  #getLevel(sent: number): Set<string> {
    while (this.#levels.length <= sent) {
      this.#levels.push(new Set());
    }
    return this.#levels[sent] as Set<string>;
  }
}

/** Queue of update keys that are each sent a limited number of times, least often sent first. */

export class TransmitLimitedQueue {
  /** Queued keys, indexed by the number of times they were sent. */
  readonly #keysByTransmits: Set<string>[] = [];

  /** Queues the key, or resets its transmit count if it is queued already. */
  push(key: string): void {
    this.#keysByTransmits.forEach((keys) => keys.delete(key));
    this.#getKeys(0).add(key);
  }

  /**
   * Passes queued keys to `add` until it returns false because the message is full. A key is
   * removed after it was sent `transmits` times.
   */
  collect(transmits: number, add: (key: string) => boolean): void {
    const queued = this.#keysByTransmits.flatMap((keys, transmitCount) =>
      [...keys].map((key) => ({ key, transmitCount })),
    );
    for (const { key, transmitCount } of queued) {
      if (!add(key)) {
        return;
      }
      this.#recordTransmit(key, transmitCount, transmits);
    }
  }

  get size(): number {
    return this.#keysByTransmits.reduce((sum, keys) => sum + keys.size, 0);
  }

  #recordTransmit(key: string, transmitCount: number, transmits: number): void {
    this.#getKeys(transmitCount).delete(key);
    if (transmitCount + 1 < transmits) {
      this.#getKeys(transmitCount + 1).add(key);
    }
  }

  #getKeys(transmitCount: number): Set<string> {
    while (this.#keysByTransmits.length <= transmitCount) {
      this.#keysByTransmits.push(new Set());
    }
    return this.#keysByTransmits[transmitCount] as Set<string>;
  }
}

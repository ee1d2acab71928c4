/** Limits the size of a gossip payload. */

export class PayloadBudget {
  #remainingBytes: number;

  #isEmpty = true;

  constructor(sizeBytes: number) {
    this.#remainingBytes = sizeBytes;
  }

  /**
   * Reserves space for the item; returns false if it does not fit. The first item always fits,
   * otherwise an oversized one would never be sent.
   */
  tryConsume(item: unknown): boolean {
    const sizeBytes = JSON.stringify(item).length + 1;
    if (sizeBytes > this.#remainingBytes && !this.#isEmpty) {
      return false;
    }
    this.#isEmpty = false;
    this.#remainingBytes -= sizeBytes;
    return true;
  }
}

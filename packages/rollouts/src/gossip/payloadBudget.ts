/** Fills a message up to a number of bytes. */

export class PayloadBudget {
  #leftBytes: number;

  #isUnused = true;

  constructor(sizeBytes: number) {
    this.#leftBytes = sizeBytes;
  }

  /** Whether the item fits; if so its bytes are taken. The first one always does, or it never went out. */
  take(item: unknown): boolean {
    const sizeBytes = JSON.stringify(item).length + 1;
    if (sizeBytes > this.#leftBytes && !this.#isUnused) {
      return false;
    }
    this.#isUnused = false;
    this.#leftBytes -= sizeBytes;
    return true;
  }
}

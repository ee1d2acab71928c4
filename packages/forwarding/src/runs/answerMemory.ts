/**
 * Bounds the memory of answers that are held until they are whole, of all requests together. An answer for
 * which there is none is passed on as it arrives, and can't be asked for again.
 */
export class AnswerMemory {
  readonly #maxBytes: number;

  #heldBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** False, without effect, if there is no room for the bytes. */
  tryHold(bytes: number): boolean {
    if (this.#heldBytes + bytes > this.#maxBytes) {
      return false;
    }
    this.#heldBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}

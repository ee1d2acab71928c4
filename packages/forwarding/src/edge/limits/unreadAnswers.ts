/**
 * Bounds what waits in this process for callers to read it. When it is too much, the response of which most
 * waits is aborted.
 */

/** The caller's side of one response. */
export interface AnswerHolder {
  /** Bytes that are written and not passed to the system yet. */
  readonly unreadBytes: number;
  /** Ends the response at once, so that it holds no bytes any more. */
  dropUnread(): void;
}

export class UnreadAnswers {
  readonly #maxBytes: number;

  readonly #bytes = new Map<AnswerHolder, number>();

  #heldBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** To be called when the holder has written, and when its bytes were read. */
  update(holder: AnswerHolder): void {
    const before = this.#bytes.get(holder) ?? 0;
    const { unreadBytes } = holder;
    if (unreadBytes === before) {
      return;
    }
    this.#heldBytes += unreadBytes - before;
    if (unreadBytes === 0) {
      this.#bytes.delete(holder);
      return;
    }
    this.#bytes.set(holder, unreadBytes);
    while (this.#heldBytes > this.#maxBytes && this.#bytes.size > 0) {
      this.#dropLargest();
    }
  }

  remove(holder: AnswerHolder): void {
    this.#heldBytes -= this.#bytes.get(holder) ?? 0;
    this.#bytes.delete(holder);
  }

  #dropLargest(): void {
    const [first] = this.#bytes;
    const [largest] = [...this.#bytes].reduce(
      (most, one) => (one[1] > most[1] ? one : most),
      first!,
    );
    this.remove(largest);
    largest.dropUnread();
  }
}

/** Collects bytes that arrive in pieces of any size, with work and memory in proportion to the bytes. */

/** Smaller pieces are copied together: as objects of their own they would take up many times their bytes. */
const BLOCK_BYTES = 16_384;

/** Room for the first small pieces, which are mostly all. */
const FIRST_BLOCK_BYTES = 256;

const EMPTY = Buffer.alloc(0);

export class ByteCollector {
  #blocks: Buffer[] = [];

  /** The last block, as far as it is used, is not among the others yet. */
  #open = EMPTY;

  #openBytes = 0;

  #sizeBytes = 0;

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Large pieces are kept, not copied; the caller must not change them. */
  append(piece: Buffer): void {
    this.#sizeBytes += piece.length;
    if (piece.length >= BLOCK_BYTES) {
      this.#closeBlock();
      this.#blocks.push(piece);
      return;
    }
    if (this.#openBytes + piece.length > this.#open.length) {
      this.#openBlock(piece.length);
    }
    piece.copy(this.#open, this.#openBytes);
    this.#openBytes += piece.length;
  }

  /** Returns all bytes and is empty afterwards. */
  take(): Buffer {
    this.#closeBlock();
    const [first = EMPTY] = this.#blocks;
    const bytes = this.#blocks.length > 1 ? Buffer.concat(this.#blocks, this.#sizeBytes) : first;
    this.#blocks = [];
    this.#sizeBytes = 0;
    return bytes;
  }

  #openBlock(neededBytes: number): void {
    const isFirst = this.#sizeBytes === neededBytes;
    this.#closeBlock();
    const blockBytes = Math.max(neededBytes, isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES);
    this.#open = Buffer.allocUnsafe(blockBytes);
  }

  #closeBlock(): void {
    if (this.#openBytes > 0) {
      this.#blocks.push(this.#open.subarray(0, this.#openBytes));
    }
    this.#open = EMPTY;
    this.#openBytes = 0;
  }
}

/** Reads the complete body of a request that has one, so that it can be sent again. */
import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '@snipehaven/common';
import type { BodyMemory, HeldBody, ReadingTurns } from './limits/index.js';
import { getAnnouncedBytes } from './requestBody.js';

export interface CallerBody {
  readonly bytes: Buffer;
  /** To be called when the body is needed no longer. */
  release(): void;
}

/** `noMemory`: too much is held of this and other bodies. `gone`: the caller has closed the connection. */
export type BodyResult = CallerBody | 'tooLarge' | 'noMemory' | 'gone';

export const NO_BODY: CallerBody = { bytes: Buffer.alloc(0), release: () => {} };

export class CallerBodyReader {
  readonly #request: IncomingMessage;

  readonly #maxBytes: number;

  readonly #held: HeldBody;

  readonly #pieces = new ByteCollector();

  readonly #countPiece: () => void;

  #result: BodyResult | undefined;

  #onResult: ((result: BodyResult) => void) | undefined;

  /** Begins to read, unless the request announces a longer body than allowed. */
  constructor(request: IncomingMessage, maxBytes: number, memory: BodyMemory, turns: ReadingTurns) {
    this.#request = request;
    this.#maxBytes = maxBytes;
    this.#held = memory.open(() => this.#finish('noMemory'));
    this.#countPiece = turns.countPieces(request, () => this.#held.giveUp());
    if (getAnnouncedBytes(request) > maxBytes) {
      this.#result = 'tooLarge';
    } else {
      request.on('data', this.#onData).on('end', this.#onEnd).on('close', this.#onClose);
    }
  }

  /**
   * Calls back once, with the body or the reason why there is none. What is left of the request is not read
   * then.
   */
  deliver(onResult: (result: BodyResult) => void): void {
    if (this.#result === undefined) {
      this.#onResult = onResult;
    } else {
      onResult(this.#result);
    }
  }

  /** Drops what has been read; nothing is delivered any more. */
  cancel(): void {
    this.#onResult = undefined;
    this.#held.release();
    this.#finish('gone');
  }

  readonly #onData = (piece: Buffer): void => {
    if (this.#held.bytes + piece.length > this.#maxBytes) {
      this.#held.release();
      this.#finish('tooLarge');
      return;
    }
    this.#pieces.append(piece);
    // Either may give up this body.
    this.#held.grow(piece.length);
    if (this.#result === undefined) {
      this.#countPiece();
    }
  };

  readonly #onEnd = (): void => {
    this.#held.complete();
    this.#finish({ bytes: this.#pieces.take(), release: () => this.#held.release() });
  };

  readonly #onClose = (): void => {
    this.#held.release();
    this.#finish('gone');
  };

  #finish(result: BodyResult): void {
    this.#request.off('data', this.#onData).off('end', this.#onEnd).off('close', this.#onClose);
    this.#pieces.take();
    this.#result = result;
    this.#onResult?.(result);
  }
}

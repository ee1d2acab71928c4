/**
 * Shares the turns of the event loop among requests whose bodies come in many small pieces. Each piece costs
 * work, whatever its size, so that a crowd of such requests would hold up all others.
 */
import type { IncomingMessage } from 'node:http';
import { MAX_PIECES_PER_TURN, MAX_WAITING_READERS } from './constants.js';

export class ReadingTurns {
  /** Paused requests; one of them is read on in each turn. */
  readonly #queue: IncomingMessage[] = [];

  /**
   * Returns a function to be called with each piece that is read. `onCrowded`: as many others wait for their
   * turn as may, and the request must be given up. A paused request holds a piece of up to 64 KB, of which
   * each byte may take up some hundred.
   */
  countPieces(request: IncomingMessage, onCrowded: () => void): () => void {
    let piecesLeft = MAX_PIECES_PER_TURN;
    return () => {
      piecesLeft -= 1;
      if (piecesLeft > 0) {
        return;
      }
      piecesLeft = MAX_PIECES_PER_TURN;
      if (this.#queue.length >= MAX_WAITING_READERS) {
        onCrowded();
      } else {
        this.#enqueue(request);
      }
    };
  }

  #enqueue(request: IncomingMessage): void {
    request.pause();
    this.#queue.push(request);
    if (this.#queue.length === 1) {
      this.#scheduleTurn();
    }
  }

  #scheduleTurn(): void {
    setImmediate(() => {
      this.#queue.shift()?.resume();
      if (this.#queue.length > 0) {
        this.#scheduleTurn();
      }
    });
  }
}

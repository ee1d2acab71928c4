/** Reads on after a refusal: a caller whose connection is reset while it sends cannot read the refusal. */
import type { IncomingMessage } from 'node:http';
import { LINGER_BYTES, LINGER_MS, MAX_PIECES_PER_TURN } from './constants.js';

/** Calls `onTooMuch` at each piece beyond the bytes allowed, and beyond the pieces read in a turn. */
const readOn = (request: IncomingMessage, maxBytes: number, onTooMuch: () => void): void => {
  let bytesLeft = maxBytes;
  let piecesLeft = MAX_PIECES_PER_TURN;
  request.on('data', (bytes: Buffer) => {
    bytesLeft -= bytes.length;
    piecesLeft -= 1;
    if (bytesLeft < 0 || piecesLeft < 0) {
      onTooMuch();
    }
  });
  request.resume();
};

/** Calls back once: when the request has been read, or its caller has had time to read the refusal. */
export const lingerOn = (request: IncomingMessage, onDone: () => void): void => {
  let isDone = false;
  const finish = (): void => {
    if (!isDone) {
      isDone = true;
      clearTimeout(timer);
      onDone();
    }
  };
  const timer = setTimeout(finish, LINGER_MS);
  request.once('end', finish).once('close', finish);
  readOn(request, LINGER_BYTES, finish);
};

/** Reads what is left of a refused request; calls back once if that is more than allowed. */
export const skipRest = (
  request: IncomingMessage,
  maxBytes: number,
  onTooMuch: () => void,
): void => {
  let isTooMuch = false;
  readOn(request, maxBytes, () => {
    if (!isTooMuch) {
      isTooMuch = true;
      onTooMuch();
    }
  });
};

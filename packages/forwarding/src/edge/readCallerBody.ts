/** Reads the complete body of a request, so that it can be sent again. */
import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '@snipehaven/common';

export type BodyResult = Buffer | 'tooLarge' | 'gone';

const EMPTY = Buffer.alloc(0);

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Calls back once, with the body or the reason why there is none. */
export const readCallerBody = (
  request: IncomingMessage,
  maxBytes: number,
  onResult: (result: BodyResult) => void,
): void => {
  if (!hasBody(request)) {
    request.resume();
    onResult(EMPTY);
    return;
  }
  const body = new ByteCollector();
  let isDone = false;
  const finish = (result: BodyResult): void => {
    if (!isDone) {
      isDone = true;
      onResult(result);
    }
  };
  request.on('data', (chunk: Buffer) => {
    if (body.sizeBytes + chunk.length > maxBytes) {
      finish('tooLarge');
      return;
    }
    body.append(chunk);
  });
  request.on('end', () => finish(body.take()));
  request.on('close', () => finish('gone'));
};

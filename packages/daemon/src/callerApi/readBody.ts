/** Reads a caller's body within its bounds. */
import type { IncomingMessage } from 'node:http';
import { Refusal, RunTracker } from '@snipehaven/routing';

export interface BodyBounds {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

const refuseTooLarge = (bounds: BodyBounds): Refusal =>
  new Refusal('bodyTooLarge', `the body is over ${bounds.maxBodyBytes} bytes`, new RunTracker());

/**
 * Resolves with the body. A sender that is too slow or gone would hold its slot for ever, which one
 * notices by connections that grow without requests; it is refused after `bodyTimeoutMs`.
 */
export const readBody = (request: IncomingMessage, bounds: BodyBounds): Promise<Buffer> => {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > bounds.maxBodyBytes) {
    return Promise.reject(refuseTooLarge(bounds));
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(() => {
      const message = `the body did not arrive within ${bounds.bodyTimeoutMs} ms`;
      reject(new Refusal('requestTimeout', message, new RunTracker()));
    }, bounds.bodyTimeoutMs);
    const finish = (settle: () => void): void => {
      clearTimeout(timer);
      settle();
    };
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > bounds.maxBodyBytes) {
        finish(() => reject(refuseTooLarge(bounds)));
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => finish(() => resolve(Buffer.concat(chunks))));
    request.on('close', () => {
      if (!request.complete) {
        finish(() => reject(new Refusal('callerGone', 'the caller has gone', new RunTracker())));
      }
    });
  });
};

const MAX_DEPTH = 64;

const getDepth = (text: string): number => {
  let depth = 0;
  let deepest = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const char = text[index];
    if (isInString && char === '\\') {
      index += 1;
    } else if (char === '"') {
      isInString = !isInString;
    } else if (!isInString && (char === '{' || char === '[')) {
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (!isInString && (char === '}' || char === ']')) {
      depth -= 1;
    }
  }
  return deepest;
};

/** Bytes that are no UTF-8 are refused: decoded all the same, they would be another prompt. */
const decodeText = (body: Buffer): string => {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch (error) {
    const message = 'the body is not UTF-8';
    throw new Refusal('invalidRequest', message, new RunTracker(), { cause: error });
  }
};

/** Parses JSON that is not nested too deep; throws a refusal. */
export const parseJsonBody = (body: Buffer): unknown => {
  const text = decodeText(body);
  if (getDepth(text) > MAX_DEPTH) {
    const message = `the body is nested deeper than ${MAX_DEPTH}`;
    throw new Refusal('invalidRequest', message, new RunTracker());
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new Refusal('invalidRequest', 'the body is not JSON', new RunTracker(), { cause: error });
  }
};

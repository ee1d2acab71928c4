/** Reads a bounded JSON body. */
import type { IncomingMessage } from 'node:http';
import { BODY_TIMEOUT_MS, MAX_BODY_BYTES } from './constants.js';
import { OperatorApiError } from './errors.js';

const collectBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  // Left at its default, the iterator destroys the socket when a body is refused, and the sender
  // sees a reset connection where it should read why.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    sizeBytes += (chunk as Buffer).length;
    if (sizeBytes > MAX_BODY_BYTES) {
      throw new OperatorApiError('body_too_large', `the body is above ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

/**
 * A sender that stops halfway would hold the call for ever. Seen as connections that stay open
 * without an answer; the timer answers 408 instead.
 */
const withTimeout = async (body: Promise<Buffer>): Promise<Buffer> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(
      () => reject(new OperatorApiError('body_timeout', 'the body did not arrive in time')),
      BODY_TIMEOUT_MS,
    );
  });
  return Promise.race([body, timeout]).finally(() => clearTimeout(timer));
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new OperatorApiError('bad_request', 'the body is not JSON');
  }
};

/** The JSON value of the body; throws `body_too_large`, `body_timeout`, `bad_request`. */
export const readJsonBody = async (request: IncomingMessage): Promise<unknown> => {
  const body = await withTimeout(collectBody(request));
  return parseJson(body.toString('utf8'));
};

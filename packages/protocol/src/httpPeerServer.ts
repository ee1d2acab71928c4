/** The HTTP edge of the inner protocol: lets in peers that know the secret, and nobody else. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { PEER_MAX_BODY_BYTES, PEER_PATH, PEER_SECRET_HEADER } from './constants.js';
import type { PeerHandlers } from './peerHandlers.js';
import { peerRouter } from './peerRouter.js';

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;

const hashSecret = (secret: string): Buffer => createHash('sha256').update(secret).digest();

/**
 * What goes wrong: comparing secrets character by character takes longer the more of them is right, which
 * tells them to whoever measures. Nobody would notice. Hashes of equal length are compared in constant
 * time, and always with all secrets.
 */
const isKnownSecret = (given: string, known: readonly Buffer[]): boolean => {
  const hash = hashSecret(given);
  const matches = known.filter((secret) => timingSafeEqual(secret, hash));
  return matches.length > 0;
};

const isPeerPath = (request: IncomingMessage): boolean =>
  request.url?.startsWith(`${PEER_PATH}/`) ?? false;

/** Refuses without reading the body; the connection is not used again. */
const refuse = (response: ServerResponse, status: number): void => {
  response.writeHead(status, { connection: 'close' }).end();
};

/** Leaves out headers that peers do not read: HTTP/1.1 keeps connections open without being told. */
const spareHeaders = (response: ServerResponse): void => {
  response.sendDate = false;
  response.removeHeader('connection');
};

/**
 * Answers peers' calls under `PEER_PATH`. `secrets` are the current and, while it is being replaced, the
 * previous one; an empty secret is none. Calls without a known secret get 401, too large bodies 413.
 */
export const createPeerRequestHandler = (
  handlers: PeerHandlers,
  secrets: readonly string[],
): RequestListener => {
  const known = secrets.filter((secret) => secret !== '').map(hashSecret);
  const answer = createHTTPHandler({
    router: peerRouter,
    basePath: PEER_PATH,
    createContext: () => handlers,
    maxBodySize: PEER_MAX_BODY_BYTES,
    allowBatching: false,
  });
  return (request, response) => {
    const secret = request.headers[PEER_SECRET_HEADER];
    if (!isPeerPath(request)) {
      refuse(response, HTTP_NOT_FOUND);
    } else if (typeof secret !== 'string' || !isKnownSecret(secret, known)) {
      refuse(response, HTTP_UNAUTHORIZED);
    } else {
      spareHeaders(response);
      answer(request, response);
    }
  };
};

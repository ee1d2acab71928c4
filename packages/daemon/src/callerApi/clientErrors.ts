/** Answers what Node's HTTP parser gave up on before any handler saw it. */
import { STATUS_CODES, type Server } from 'node:http';
import type { Duplex } from 'node:stream';
import { Refusal, RunTracker, type RefusalKind } from '@snipehaven/routing';
import { getErrorHeaders, toErrorBody } from './errorBody.js';

interface ClientFault {
  readonly kind: RefusalKind;
  readonly message: string;
}

/** By the parser's code; any other one means that the bytes are no HTTP. */
const faultsByCode: Partial<Record<string, ClientFault>> = {
  HPE_HEADER_OVERFLOW: { kind: 'headersTooLarge', message: 'the headers are too long' },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { kind: 'bodyTooLarge', message: 'chunk extensions are too long' },
  ERR_HTTP_REQUEST_TIMEOUT: {
    kind: 'requestTimeout',
    message: 'the request did not arrive in time',
  },
};

const MALFORMED: ClientFault = { kind: 'invalidRequest', message: 'the request is not valid HTTP' };

const toResponseText = ({ kind, message }: ClientFault): string => {
  const refusal = new Refusal(kind, message, new RunTracker());
  const body = JSON.stringify(toErrorBody(refusal));
  const headers = Object.entries({ ...getErrorHeaders(refusal, body), connection: 'close' });
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status]}\r\n${lines}\r\n${body}`;
};

/**
 * Answers in the same shape as the handlers do.
 *
 * What goes wrong: a caller sends a whole request and then bytes that are no HTTP, over one connection. An
 * error answer written now would be read as the answer to the whole request, which may be running, and its
 * "not run" would be false. A connection with an open request is therefore closed without a word.
 */
export const answerClientErrors = (server: Server): void => {
  const openRequests = new WeakMap<Duplex, number>();
  const count = (socket: Duplex, change: number): void => {
    openRequests.set(socket, (openRequests.get(socket) ?? 0) + change);
  };
  server.on('request', ({ socket }, response) => {
    count(socket, 1);
    response.on('close', () => count(socket, -1));
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const isFree = (openRequests.get(socket) ?? 0) === 0;
    if (!isFree || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    socket.end(toResponseText(faultsByCode[error.code ?? ''] ?? MALFORMED));
  });
};

/** What a request's headers say of its body. */
import type { IncomingMessage } from 'node:http';

export const getAnnouncedBytes = ({ headers }: IncomingMessage): number =>
  Number(headers['content-length'] ?? 0);

export const hasBody = (request: IncomingMessage): boolean =>
  request.headers['transfer-encoding'] !== undefined || getAnnouncedBytes(request) > 0;

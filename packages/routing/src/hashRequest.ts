import { createHash } from 'node:crypto';

/** A digest that tells whether two requests under one idempotency key are the same request. */
export const hashRequest = (scope: string, body: string | Uint8Array): string =>
  createHash('sha256').update(scope).update('\0').update(body).digest('hex');

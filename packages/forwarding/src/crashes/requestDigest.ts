/** Identifies a request by its content and team, so that it is recognized in another attempt. */
import { createHash } from 'node:crypto';
import { asId, type RequestDigest } from '@snipehaven/common';

/** What identifies a request. Headers are excluded, because they differ between attempts. */
export interface DigestedRequest {
  /**
   * The same request of another team is a different one: no team can get another team's requests
   * refused.
   */
  readonly team: string | undefined;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly body: Buffer;
}

/**
 * 132 bits: finding a second request with the same digest is infeasible, and rows and log lines do
 * not reveal the request.
 */
const DIGEST_CHARS = 22;

export const digestRequest = (request: DigestedRequest): RequestDigest => {
  const { team = null, method, host, target, body } = request;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([team, method, host.toLowerCase(), target]));
  hash.update(body);
  return asId<RequestDigest>(hash.digest('base64url').slice(0, DIGEST_CHARS));
};

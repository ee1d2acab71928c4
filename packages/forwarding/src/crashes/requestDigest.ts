/** Names a request by what is asked and by whom, so that it is known when another attempt brings it. */
import { createHash } from 'node:crypto';
import { asId, type RequestDigest } from '@snipehaven/common';

/** What makes a request the same one; headers are left out, since they name the attempt. */
export interface DigestedRequest {
  /** Two teams that ask the same are two requests: none can have another one's refused. */
  readonly team: string | undefined;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly body: Buffer;
}

/** 132 bits: nobody finds a second text for one, and rows and lines give no text away. */
const DIGEST_CHARS = 22;

export const digestRequest = (request: DigestedRequest): RequestDigest => {
  const { team = null, method, host, target, body } = request;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([team, method, host.toLowerCase(), target]));
  hash.update(body);
  return asId<RequestDigest>(hash.digest('base64url').slice(0, DIGEST_CHARS));
};

/**
 * Identifies what may crash an upstream: a request as a whole, by its content and team, so that it is
 * recognized in another attempt, and each part of its prompt that other requests may share.
 */
import { createHash } from 'node:crypto';
import { asId, type RequestDigest } from '@snipehaven/common';
import type { PromptPart } from '../types.js';

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

/** Distinguishes digests of parts from those of requests, also for operators. */
const PART_PREFIX = 'part-';

/** Parts considered at each end of a prompt; bounds what one request adds to messages and tables. */
const MAX_PARTS_PER_END = 16;

export const isPartDigest = (digest: RequestDigest): boolean => digest.startsWith(PART_PREFIX);

/** A part crashes upstreams whichever team sends it, so that its digest does not name a team. */
const digestPart = ({ id }: PromptPart): RequestDigest => {
  const hash = createHash('sha256').update('part').update(id).digest('base64url');
  return asId<RequestDigest>(`${PART_PREFIX}${hash.slice(0, DIGEST_CHARS)}`);
};

/** Digests of all parts but the last one, which belongs to the request or its session alone. */
export const digestSharedParts = (parts: readonly PromptPart[]): readonly RequestDigest[] => {
  const shared = parts.slice(0, -1);
  const considered =
    shared.length > 2 * MAX_PARTS_PER_END
      ? [...shared.slice(0, MAX_PARTS_PER_END), ...shared.slice(-MAX_PARTS_PER_END)]
      : shared;
  return [...new Set(considered.map(digestPart))];
};

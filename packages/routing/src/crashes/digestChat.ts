/** Identifies a chat by team and body, independently of the attempt or daemon that handles it. */
import { asId, type RequestDigest } from '@snipehaven/common';
import { hashRequest } from '../hashRequest.js';
import type { ChatRequest } from '../types.js';

/** 32 hexadecimal digits are 128 bits. */
const DIGEST_CHARS = 32;

export const digestChat = ({ identity, body }: ChatRequest): RequestDigest => {
  const hash = hashRequest(`chat ${identity.team.metadata.uid}`, JSON.stringify(body));
  return asId<RequestDigest>(hash.slice(0, DIGEST_CHARS));
};

/** Knows operators by their bearer tokens. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { OperatorApiError } from './errors.js';
import type { Operator, OperatorRole, OperatorToken } from './types.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

const getDigest = (token: string): Buffer => createHash('sha256').update(token).digest();

const isSame = (digest: Buffer, sha256: string): boolean => {
  const expected = Buffer.from(sha256, 'hex');
  return expected.length === digest.length && timingSafeEqual(digest, expected);
};

/** Compares with every token, so that the time taken tells nothing about which one is near. */
const findToken = (
  presented: string,
  tokens: readonly OperatorToken[],
): OperatorToken | undefined => {
  const digest = getDigest(presented);
  const matching = tokens.filter((token) => isSame(digest, token.sha256));
  return matching[0];
};

/** The operator who calls; throws `not_authenticated`. */
export const authenticate = (
  request: IncomingMessage,
  tokens: readonly OperatorToken[],
): Operator => {
  const presented = BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1];
  const token = presented === undefined ? undefined : findToken(presented, tokens);
  if (token === undefined) {
    throw new OperatorApiError('not_authenticated', 'a valid operator token is needed');
  }
  return { name: token.name, role: token.role };
};

/** Throws `not_permitted` where the operator's role is too low. */
export const requireRole = (operator: Operator, role: OperatorRole): void => {
  if (role === 'write' && operator.role !== 'write') {
    throw new OperatorApiError('not_permitted', `operator ${operator.name} may only read`);
  }
};

/** Schema, parsing and serialization of claim rows. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { CLAIM_PREFIX } from './constants.js';
import { MalformedAnswerError } from './errors.js';

const storedAnswerSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  body: z.string(),
  encoding: z.enum(['utf8', 'base64']),
  version: z.string().optional(),
});

const claimRowSchema = z.object({
  /** Unique per claim attempt. */
  token: z.string(),
  bodyHash: z.string(),
  /** Incarnation of the daemon that owns the claim. */
  owner: z.string(),
  /** `released`: the key is unclaimed, as if it had never been used. */
  state: z.enum(['claimed', 'finished', 'unknown', 'released']),
  /** Time of the last state change, by the owner's clock. */
  atMs: z.number(),
  deadlineAtMs: z.number(),
  answer: storedAnswerSchema.optional(),
  /** Object store name of an answer that is too large for the row. */
  answerObject: z.string().optional(),
});

export type ClaimRow = z.infer<typeof claimRowSchema>;

export type ClaimState = ClaimRow['state'];

const stripUndefined = <Value extends object>(value: Value): Value =>
  JSON.parse(JSON.stringify(value)) as Value;

/** Parses a row value; undefined if it is not a valid claim. */
export const tryRestoreClaimRow = (value: unknown): ClaimRow | undefined =>
  claimRowSchema.safeParse(value).data;

/** Parses an answer read from the object store; throws `MalformedAnswerError`. */
export const restoreStoredAnswer = (bytes: Uint8Array): z.infer<typeof storedAnswerSchema> => {
  try {
    return storedAnswerSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
  } catch (error) {
    throw new MalformedAnswerError('stored object is not a valid answer', { cause: error });
  }
};

/** Returns the row as written to the table, without undefined fields. */
export const serializeClaimRow = (row: ClaimRow): unknown => stripUndefined(row);

const hash = (text: string): string => createHash('sha256').update(text).digest('base64url');

/** Row key for a team's idempotency key, which is hashed because callers may send any length. */
export const getClaimRowKey = (teamUid: string, key: string): string =>
  `${CLAIM_PREFIX}${encodeURIComponent(teamUid)}/${hash(key)}`;

/** The table's row of a claim. */
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
  /** Differs for each attempt to claim. */
  token: z.string(),
  bodyHash: z.string(),
  /** Incarnation of the daemon that holds the claim. */
  owner: z.string(),
  /** `released` stands for a key that nobody holds, as if it had never been used. */
  state: z.enum(['claimed', 'finished', 'unknown', 'released']),
  /** When the state was entered, by the owner's clock. */
  atMs: z.number(),
  deadlineAtMs: z.number(),
  answer: storedAnswerSchema.optional(),
  /** Name in the object store of an answer too large for the row. */
  answerObject: z.string().optional(),
});

export type ClaimRow = z.infer<typeof claimRowSchema>;

export type ClaimState = ClaimRow['state'];

const stripUndefined = <Value extends object>(value: Value): Value =>
  JSON.parse(JSON.stringify(value)) as Value;

/** Checks the value of a row; undefined when it is no claim. */
export const tryRestoreClaimRow = (value: unknown): ClaimRow | undefined =>
  claimRowSchema.safeParse(value).data;

/** Checks the bytes of an answer from the object store; throws `MalformedAnswerError`. */
export const restoreStoredAnswer = (bytes: Uint8Array): z.infer<typeof storedAnswerSchema> => {
  try {
    return storedAnswerSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
  } catch (error) {
    throw new MalformedAnswerError('object is no answer', { cause: error });
  }
};

/** The form in which a row is written. */
export const serializeClaimRow = (row: ClaimRow): unknown => stripUndefined(row);

const hash = (text: string): string => createHash('sha256').update(text).digest('base64url');

/** Key of the row for a team's idempotency key; callers' keys are hashed, being of any length. */
export const getClaimRowKey = (teamUid: string, key: string): string =>
  `${CLAIM_PREFIX}${encodeURIComponent(teamUid)}/${hash(key)}`;

/** Reads what a caller's headers ask for. */
import type { IncomingHttpHeaders } from 'node:http';
import { DEFAULT_TASK, MAX_PRIORITY } from '@snipehaven/resources';
import {
  CALLER_SESSION_HEADER,
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  NON_IDEMPOTENT_HEADER,
  PRIORITY_HEADER,
  Refusal,
  RunTracker,
  SESSION_HEADER,
  TASK_HEADER,
  type RequestOptions,
} from '@snipehaven/routing';
import { z } from 'zod';

const MAX_KEY_CHARS = 200;
const MAX_TOKEN_CHARS = 2_048;

/** Digits only: an empty header is no 0, and `1e3` no number of milliseconds. */
const countSchema = z
  .string()
  .regex(/^\d{1,12}$/, 'must be a whole number')
  .transform(Number);

const headersSchema = z.object({
  [TASK_HEADER]: z
    .string()
    .regex(/^[a-z0-9.-]{1,63}$/, 'must be lower-case letters, digits, dots and dashes')
    .default(DEFAULT_TASK),
  [PRIORITY_HEADER]: countSchema.pipe(z.number().max(MAX_PRIORITY)).optional(),
  [DEADLINE_HEADER]: countSchema.pipe(z.number().positive()).optional(),
  [IDEMPOTENCY_KEY_HEADER]: z.string().min(1).max(MAX_KEY_CHARS).optional(),
  [NON_IDEMPOTENT_HEADER]: z.enum(['true', 'false']).default('false'),
  [SESSION_HEADER]: z.string().min(1).max(MAX_TOKEN_CHARS).optional(),
  [CALLER_SESSION_HEADER]: z.string().min(1).max(MAX_KEY_CHARS).optional(),
});

export interface OptionDefaults {
  readonly defaultDeadlineMs: number;
  readonly maxDeadlineMs: number;
}

/** Checks the headers; throws a refusal that names the header. */
export const readOptions = (
  headers: IncomingHttpHeaders,
  defaultPriority: number,
  defaults: OptionDefaults,
): RequestOptions => {
  const result = headersSchema.safeParse(headers);
  if (!result.success) {
    const [issue] = result.error.issues;
    const message = `header ${String(issue?.path[0])}: ${issue?.message}`;
    throw new Refusal('invalidRequest', message, new RunTracker());
  }
  const read = result.data;
  const deadlineMs = Math.min(
    read[DEADLINE_HEADER] ?? defaults.defaultDeadlineMs,
    defaults.maxDeadlineMs,
  );
  const idempotencyKey = read[IDEMPOTENCY_KEY_HEADER];
  const sessionToken = read[SESSION_HEADER];
  const callerSession = read[CALLER_SESSION_HEADER];
  return {
    task: read[TASK_HEADER],
    priority: read[PRIORITY_HEADER] ?? defaultPriority,
    deadlineAtMs: Date.now() + deadlineMs,
    isIdempotent: read[NON_IDEMPOTENT_HEADER] === 'false',
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(sessionToken === undefined ? {} : { sessionToken }),
    ...(callerSession === undefined ? {} : { callerSession }),
  };
};

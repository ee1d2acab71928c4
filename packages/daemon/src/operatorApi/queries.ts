/** The gate that query parameters and small bodies come through. */
import { z } from 'zod';
import { kindSchemas, type Kind } from '@snipehaven/resources';
import type { TimelineQuery } from '@snipehaven/timeline';
import { DEFAULT_TIMELINE_LIMIT } from './constants.js';
import { OperatorApiError } from './errors.js';

const countField = z.coerce.number().int().nonnegative();
const flagField = z.enum(['true', 'false']).transform((value) => value === 'true');

export const noQuerySchema = z.strictObject({});
export const applyQuerySchema = z.strictObject({ dryRun: flagField.default(false) });
export const removeQuerySchema = z.strictObject({
  dryRun: flagField.default(false),
  resourceVersion: countField.optional(),
});
export const watchQuerySchema = z.strictObject({
  afterRevision: countField.optional(),
  kind: z.string().optional(),
});
export const statusQuerySchema = z.strictObject({ revision: countField.optional() });
export const billingQuerySchema = z.strictObject({
  team: z.string().optional(),
  fromMs: countField.optional(),
  untilMs: countField.optional(),
});
export const timelineQuerySchema = z.strictObject({
  sinceMs: countField.optional(),
  requestId: z.string().optional(),
  version: z.string().optional(),
  team: z.string().optional(),
  types: z
    .string()
    .transform((value) => value.split(','))
    .optional(),
  limit: countField.default(DEFAULT_TIMELINE_LIMIT),
});
export const safeMoveBodySchema = z.strictObject({
  kind: z.enum(['withdraw', 'quarantine', 'drain', 'evacuate']),
  subject: z.string().min(1),
  reason: z.string().default(''),
});
export const drainBodySchema = z.strictObject({
  target: z.string().min(1),
  type: z.enum(['vm', 'upstream']).optional(),
  reason: z.string().default(''),
});

const throwInvalid = (error: z.ZodError): never => {
  const issues = error.issues.map((issue) => ({
    path: issue.path.join('.') || '(whole)',
    rule: issue.message,
  }));
  const text = issues.map((issue) => `${issue.path}: ${issue.rule}`).join('; ');
  throw new OperatorApiError('bad_request', text, { issues });
};

/** Checks a value from outside; throws `bad_request` naming path and rule. */
export const restoreValue = <Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): z.output<Schema> => {
  const result = schema.safeParse(value);
  return result.success ? result.data : throwInvalid(result.error);
};

/** Checks query parameters. */
export const restoreQuery = <Schema extends z.ZodType>(
  schema: Schema,
  query: URLSearchParams,
): z.output<Schema> => restoreValue(schema, Object.fromEntries(query));

/** The kind of that name; throws `unknown_kind`. */
export const restoreKind = (name: string): Kind => {
  if (!Object.hasOwn(kindSchemas, name)) {
    const known = Object.keys(kindSchemas).join(', ');
    throw new OperatorApiError('unknown_kind', `no kind ${name}; there are ${known}`);
  }
  return name as Kind;
};

/** Leaves out what is undefined, as optional fields of the contracts ask. */
export const omitUndefined = <Value extends object>(
  value: Value,
): { [Key in keyof Value]: Exclude<Value[Key], undefined> } =>
  Object.fromEntries(Object.entries(value).filter((entry) => entry[1] !== undefined)) as {
    [Key in keyof Value]: Exclude<Value[Key], undefined>;
  };

/** The query of a time line. */
export const restoreTimelineQuery = (query: URLSearchParams): TimelineQuery =>
  omitUndefined(restoreQuery(timelineQuerySchema, query)) as TimelineQuery;

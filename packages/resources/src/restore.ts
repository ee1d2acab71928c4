/** The gate that manifests from operators come through. */
import { z } from 'zod';
import { API_VERSION } from './constants.js';
import { ResourceInvalidError, type ValidationIssue } from './errors.js';
import { nameField, versionNameField } from './fields.js';
import { kinds, kindSchemas, versionNamedKinds, type Kind, type Spec } from './kinds.js';
import type { ResourceManifest } from './types.js';

const envelopeSchema = z.strictObject({
  apiVersion: z.literal(API_VERSION).optional(),
  kind: z.enum(kinds as [Kind, ...Kind[]]),
  metadata: z.object({ name: z.string(), resourceVersion: z.int().nonnegative().optional() }),
  spec: z.unknown(),
  status: z.unknown().optional(),
});

const toIssues = (error: z.ZodError, prefix: readonly string[]): readonly ValidationIssue[] =>
  error.issues.map((issue) => ({
    path: [...prefix, ...issue.path.map(String)].join('.') || '(whole)',
    rule: issue.message,
  }));

const restoreEnvelope = (input: unknown): z.infer<typeof envelopeSchema> => {
  const result = envelopeSchema.safeParse(input);
  if (!result.success) {
    throw new ResourceInvalidError('resource', toIssues(result.error, []));
  }
  return result.data;
};

/** Checks a name against the form that its kind asks for. */
export const restoreName = (kind: Kind, name: string): string => {
  const field = versionNamedKinds.has(kind) ? versionNameField : nameField;
  const result = field.safeParse(name);
  if (!result.success) {
    throw new ResourceInvalidError(`${kind} ${name}`, toIssues(result.error, ['metadata', 'name']));
  }
  return result.data;
};

/** Checks a spec and fills in its defaults. */
export const restoreSpec = <K extends Kind>(kind: K, name: string, input: unknown): Spec<K> => {
  const result = kindSchemas[kind].safeParse(input);
  if (!result.success) {
    throw new ResourceInvalidError(`${kind} ${name}`, toIssues(result.error, ['spec']));
  }
  return result.data as Spec<K>;
};

/** Checks a manifest from outside; throws {@link ResourceInvalidError} naming path and rule. */
export const restoreManifest = (input: unknown): ResourceManifest => {
  const envelope = restoreEnvelope(input);
  const name = restoreName(envelope.kind, envelope.metadata.name);
  const { resourceVersion } = envelope.metadata;
  return {
    kind: envelope.kind,
    name,
    ...(resourceVersion === undefined ? {} : { resourceVersion }),
    spec: restoreSpec(envelope.kind, name, envelope.spec),
  };
};

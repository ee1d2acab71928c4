/** Validates resources and changes read from the table, from peers and from snapshots. */
import { z } from 'zod';
import { getErrorMessage } from '@snipehaven/common';
import { changeSchema } from '@snipehaven/protocol';
import {
  kinds,
  restoreName,
  restoreSpec,
  type Kind,
  type Resource,
  type ResourceChange,
} from '@snipehaven/resources';
import { ConfigurationCorruptError } from './errors.js';

const kindField = z.enum(kinds as [Kind, ...Kind[]]);

const resourceSchema = z.object({
  kind: kindField,
  metadata: z.object({
    name: z.string(),
    uid: z.string(),
    resourceVersion: z.int().positive(),
    generation: z.int().positive(),
    createdAtMs: z.number(),
    updatedAtMs: z.number(),
  }),
  spec: z.unknown(),
});

/** Runs a parser and converts its errors to {@link ConfigurationCorruptError}. */
export const checkFormat = <Result>(subject: string, check: () => Result): Result => {
  try {
    return check();
  } catch (error) {
    throw new ConfigurationCorruptError(`${subject}: ${getErrorMessage(error)}`, { cause: error });
  }
};

/** Validates a stored resource; throws {@link ConfigurationCorruptError}. */
export const restoreResource = (input: unknown): Resource =>
  checkFormat('resource', () => {
    const { kind, metadata, spec } = resourceSchema.parse(input);
    restoreName(kind, metadata.name);
    return { kind, metadata, spec: restoreSpec(kind, metadata.name, spec) };
  });

/** Validates a change; throws {@link ConfigurationCorruptError}. */
export const restoreChange = (input: unknown): ResourceChange =>
  checkFormat('change', () => {
    const { revision, kind, name, resource } = changeSchema.parse(input);
    const base = { revision, kind: kindField.parse(kind), name };
    return resource === undefined ? base : { ...base, resource: restoreResource(resource) };
  });

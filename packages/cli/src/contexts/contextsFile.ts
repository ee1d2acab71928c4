/** The contexts file: the data centres' daemons and the operator's token for each. */
import { readFile } from 'node:fs/promises';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { getErrorMessage } from '@snipehaven/common';
import { InvalidInputError } from '../errors.js';

const contextSchema = z.strictObject({
  urls: z.array(z.url({ protocol: /^https?$/ })).min(1),
  tokenEnv: z.string().min(1).optional(),
  tokenFile: z.string().min(1).optional(),
});

const contextsFileSchema = z.strictObject({
  current: z.string().optional(),
  contexts: z.record(z.string(), contextSchema),
});

/** One named set of daemons. */
export type ContextEntry = z.infer<typeof contextSchema>;

export type ContextsFile = z.infer<typeof contextsFileSchema>;

/** Checks the text of a contexts file; throws {@link InvalidInputError} naming path and rule. */
export const restoreContextsFile = (text: string, path: string): ContextsFile => {
  const result = contextsFileSchema.safeParse(parseToml(text, path));
  if (!result.success) {
    const issues = result.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    throw new InvalidInputError(`${path}: ${issues.join('; ')}`);
  }
  return result.data;
};

/** Parses TOML; throws {@link InvalidInputError} naming the file. */
export const parseToml = (text: string, path: string): Record<string, unknown> => {
  try {
    return parse(text);
  } catch (error) {
    throw new InvalidInputError(`${path}: ${getErrorMessage(error)}`, { cause: error });
  }
};

/** Reads a file as text; throws {@link InvalidInputError}. */
export const readText = async (path: string): Promise<string> => {
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    throw new InvalidInputError(`cannot read ${path}: ${getErrorMessage(error)}`, { cause: error });
  }
};

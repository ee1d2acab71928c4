/** Reads and checks the settings file. */
import { readFileSync } from 'node:fs';
import { getErrorMessage } from '@snipehaven/common';
import { parse } from 'smol-toml';
import { SettingsError } from './errors.js';
import { settingsSchema, type SecretSource, type Settings } from './settingsSchema.js';

const readText = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError([`${file}: cannot be read: ${getErrorMessage(error)}`], {
      cause: error,
    });
  }
};

const parseToml = (file: string, text: string): unknown => {
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError([`${file}: not TOML: ${getErrorMessage(error)}`], { cause: error });
  }
};

/** Checks the text of a settings file; throws `SettingsError` naming file, field and rule. */
export const restoreSettings = (file: string, text: string): Settings => {
  const result = settingsSchema.safeParse(parseToml(file, text));
  if (result.success) {
    return result.data;
  }
  const faults = result.error.issues.map(
    (issue) => `${file}: ${issue.path.join('.') || '(whole file)'}: ${issue.message}`,
  );
  throw new SettingsError(faults);
};

/** Reads and checks a settings file. */
export const readSettings = (file: string): Settings => restoreSettings(file, readText(file));

/** Reads a secret from its environment variable or file. */
export const readSecret = (
  field: string,
  source: SecretSource,
  environment: NodeJS.ProcessEnv,
): string => {
  const value = 'env' in source ? environment[source.env] : readText(source.file).trim();
  if (value === undefined || value === '') {
    const place = 'env' in source ? `variable ${source.env}` : `file ${source.file}`;
    throw new SettingsError([`${field}: ${place} is empty or missing`]);
  }
  return value;
};

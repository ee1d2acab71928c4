/** Reads and checks the settings file. */
import { parse, TomlError } from 'smol-toml';
import { describeIssue } from './describeIssue.js';
import { SettingsError } from './errors.js';
import { readText } from './readText.js';
import { settingsSchema, type SecretSource, type Settings } from './settingsSchema.js';

/** The library's message quotes the line, in which a secret may stand by mistake: it is left out. */
const parseToml = (file: string, text: string): unknown => {
  try {
    return parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) {
      throw error;
    }
    const [reason] = error.message.split('\n');
    throw new SettingsError([`${file}: line ${error.line}: not TOML: ${reason}`]);
  }
};

/** Checks the text of a settings file; throws `SettingsError` naming file, field and rule. */
export const restoreSettings = (file: string, text: string): Settings => {
  const result = settingsSchema.safeParse(parseToml(file, text));
  if (result.success) {
    return result.data;
  }
  const faults = result.error.issues
    .flatMap(describeIssue)
    .map(({ field, rule }) => `${file}: ${field}: ${rule}`);
  throw new SettingsError(faults);
};

/** Reads and checks a settings file. */
export const readSettings = (file: string): Settings => restoreSettings(file, readText(file, file));

/** Reads a secret from its environment variable or file. */
export const readSecret = (
  field: string,
  source: SecretSource,
  environment: NodeJS.ProcessEnv,
): string => {
  const value = 'env' in source ? environment[source.env] : readText(field, source.file).trim();
  if (value === undefined || value === '') {
    const place = 'env' in source ? `variable ${source.env}` : `file ${source.file}`;
    throw new SettingsError([`${field}: ${place} is empty or missing`]);
  }
  return value;
};

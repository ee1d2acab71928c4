/** Reads a file that the settings name. */
import { readFileSync } from 'node:fs';
import { getErrorMessage } from '@snipehaven/common';
import { SettingsError } from './errors.js';

/** Throws `SettingsError`, which begins with what was read. */
export const readText = (field: string, file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const message = `${field}: cannot be read: ${getErrorMessage(error)}`;
    throw new SettingsError([message], { cause: error });
  }
};

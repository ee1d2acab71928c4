/** Writes a page to a file. */
import { writeFile } from 'node:fs/promises';
import { getErrorMessage } from '@snipehaven/common';
import { InvalidInputError } from '../errors.js';

/** Writes the text; throws {@link InvalidInputError} where the path cannot be written. */
export const writeTextFile = async (path: string, text: string): Promise<void> => {
  try {
    await writeFile(path, text);
  } catch (error) {
    throw new InvalidInputError(`cannot write ${path}: ${getErrorMessage(error)}`, {
      cause: error,
    });
  }
};

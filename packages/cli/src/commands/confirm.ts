/** Asks the operator to confirm. */
import { createInterface } from 'node:readline';
import type { Readable, Writable } from 'node:stream';

const YES_PATTERN = /^y(es)?$/i;

const readLine = (input: Readable): Promise<string> =>
  new Promise((resolve) => {
    const lines = createInterface({ input });
    lines.once('line', (line) => {
      resolve(line);
      lines.close();
    });
    lines.once('close', () => resolve(''));
  });

/** Whether the operator answers yes; the end of the input is a no. */
export const confirm = async (
  question: string,
  input: Readable,
  output: Writable,
): Promise<boolean> => {
  output.write(`${question} [y/N] `);
  return YES_PATTERN.test((await readLine(input)).trim());
};

/** Colours of a terminal; plain text elsewhere. */

/** Paints text, or leaves it as it is. */
export interface Colours {
  good(text: string): string;
  bad(text: string): string;
  warn(text: string): string;
  strong(text: string): string;
}

const RESET = '\u001b[0m';

const paint =
  (code: number) =>
  (text: string): string =>
    `\u001b[${code}m${text}${RESET}`;

const plain = (text: string): string => text;

const terminalColours: Colours = {
  good: paint(32),
  bad: paint(31),
  warn: paint(33),
  strong: paint(1),
};

const noColours: Colours = { good: plain, bad: plain, warn: plain, strong: plain };

/** Colours for a terminal; none for files, pipes, and where NO_COLOR asks for none. */
export const createColours = (isTerminal: boolean, noColor: string | undefined): Colours =>
  isTerminal && (noColor === undefined || noColor === '') ? terminalColours : noColours;

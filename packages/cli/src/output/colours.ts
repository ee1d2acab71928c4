/** Colours of a terminal; plain text elsewhere. */

import type { Writable } from 'node:stream';

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

/** Whether the stream is a terminal. */
export const isTerminal = (stream: Writable): boolean => 'isTTY' in stream && stream.isTTY === true;

/** Colours are for terminals; NO_COLOR asks for none there either. */
export const areColoursOn = (isOnTerminal: boolean, noColor: string | undefined): boolean =>
  isOnTerminal && (noColor === undefined || noColor === '');

/** Colours for a terminal; none for files, pipes, and where NO_COLOR asks for none. */
export const createColours = (isOnTerminal: boolean, noColor: string | undefined): Colours =>
  areColoursOn(isOnTerminal, noColor) ? terminalColours : noColours;

/** Redraws a text in place on a terminal; elsewhere it writes one after the other. */
import type { Writable } from 'node:stream';
import { sleep } from '@snipehaven/common';

const CLEAR_SCREEN = '\u001b[H\u001b[2J';

export interface RedrawOptions {
  readonly output: Writable;
  readonly isTerminal: boolean;
  readonly intervalMs: number;
  /** How often to draw; Infinity until the signal aborts. */
  readonly count: number;
}

/** Draws until `draw` says that it is done, the count is reached, or the operator interrupts. */
export const redraw = async (
  draw: () => Promise<{ readonly text: string; readonly isDone: boolean }>,
  { output, isTerminal, intervalMs, count }: RedrawOptions,
): Promise<void> => {
  const end = new AbortController();
  const stop = (): void => end.abort();
  process.once('SIGINT', stop);
  try {
    for (let drawn = 0; drawn < count && !end.signal.aborted; drawn += 1) {
      if (drawn > 0) {
        await sleep(intervalMs, end.signal);
      }
      const { text, isDone } = await draw();
      output.write(isTerminal ? `${CLEAR_SCREEN}${text}` : text);
      if (isDone) {
        return;
      }
    }
  } finally {
    process.off('SIGINT', stop);
  }
};

/** Exponential backoff with jitter, which keeps daemons from retrying in step. */
import { sleep, type Random } from '@snipehaven/common';

/** Backoff delay: doubled per failure up to the maximum, of which a random half to all is used. */
export const getBackoffMs = (
  failures: number,
  baseMs: number,
  maxMs: number,
  random: Random,
): number => {
  const limitMs = Math.min(maxMs, baseMs * 2 ** Math.min(failures, 20));
  return limitMs * (0.5 + random.next() / 2);
};

/**
 * Runs the step repeatedly until the signal aborts. The step returns the delay before the next run.
 */
export const runRepeatedly = async (
  step: () => Promise<number>,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const waitMs = await step();
    await sleep(waitMs, signal);
  }
};

/** Growing waits between tries, jittered so that daemons do not retry in step. */
import { sleep, type Random } from '@snipehaven/common';

/** The wait before the next try: doubled by each failure, then half to all of it at random. */
export const getBackoffMs = (
  failures: number,
  baseMs: number,
  maxMs: number,
  random: Random,
): number => {
  const limitMs = Math.min(maxMs, baseMs * 2 ** Math.min(failures, 20));
  return limitMs * (0.5 + random.next() / 2);
};

/** Runs a step over and over, waiting as long as it says, until the signal aborts. */
export const runRepeatedly = async (
  step: () => Promise<number>,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const waitMs = await step();
    await sleep(waitMs, signal);
  }
};

/** Repeats and waits of the run's watchers. */
import { sleep } from '@snipehaven/common';

/** Runs the action over and over until aborted; what it throws does not end it. */
export const repeatFor = async (
  signal: AbortSignal,
  pauseMs: number,
  action: () => Promise<void>,
): Promise<void> => {
  while (!signal.aborted) {
    await action().catch(() => undefined);
    await sleep(pauseMs, signal).catch(() => undefined);
  }
};

/** Waits until the condition holds; false when the time is over. */
export const waitUntil = async (
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  pollMs: number,
): Promise<boolean> => {
  const giveUpAtMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > giveUpAtMs) {
      return false;
    }
    await sleep(pollMs);
  }
  return true;
};

import { sleep } from '@snipehaven/common';

/**
 * Resolves with the promise's value, or with undefined after the timeout; the promise itself
 * continues.
 */
export const withTimeout = async <Value>(
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> => {
  const timer = new AbortController();
  const expired = sleep(timeoutMs, timer.signal).then(() => undefined);
  try {
    return await Promise.race([promise, expired]);
  } finally {
    timer.abort();
  }
};

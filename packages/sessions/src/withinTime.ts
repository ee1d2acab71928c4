/** Waiting no longer than a request can afford. */
import { sleep } from '@snipehaven/common';

/** The promise's value, or undefined when it takes longer; the promise goes on by itself. */
export const withinTime = async <Value>(
  promise: Promise<Value>,
  timeMs: number,
): Promise<Value | undefined> => {
  const timeout = new AbortController();
  const late = sleep(timeMs, timeout.signal).then(() => undefined);
  try {
    return await Promise.race([promise, late]);
  } finally {
    timeout.abort();
  }
};

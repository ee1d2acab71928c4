/** A bound on how long a call may take. */
import { LedgerTimeoutError } from './errors.js';

/**
 * Rejects when the call has not ended in time. What goes wrong without it: a call over a connection
 * that went silent never ends, and the one loop that awaits it stands still for good.
 */
export const withTimeout = async <Result>(
  call: Promise<Result>,
  timeoutMs: number,
  name: string,
): Promise<Result> => {
  let timer: NodeJS.Timeout | undefined;
  const expiry = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(
      () => reject(new LedgerTimeoutError(`${name} took over ${timeoutMs} ms`)),
      timeoutMs,
    );
  });
  try {
    return await Promise.race([call, expiry]);
  } finally {
    clearTimeout(timer);
  }
};

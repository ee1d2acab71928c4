/** A bound on how long a call may take. */

/**
 * Settles as the call does, or rejects with the error after the time. Without it a call over a connection
 * that went silent never ends, and the loop that awaits it stands still for good.
 */
export const withTimeout = async <Value>(
  call: Promise<Value>,
  timeoutMs: number,
  createError: () => Error,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const expiry = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(createError()), timeoutMs);
  });
  try {
    return await Promise.race([call, expiry]);
  } finally {
    clearTimeout(timer);
  }
};

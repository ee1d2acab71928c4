/** Bounds how long a call to a peer may take, whatever the transport does. */
import { PeerUnreachableError } from '@snipehaven/protocol';

/** Settles as the call does, or rejects with `PeerUnreachableError` after the time. */
export const withTimeout = async <Value>(
  call: Promise<Value>,
  timeoutMs: number,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_resolve, reject) => {
    const message = `no answer in ${timeoutMs} ms`;
    timer = setTimeout(() => reject(new PeerUnreachableError(message)), timeoutMs);
  });
  try {
    return await Promise.race([call, timeout]);
  } finally {
    clearTimeout(timer);
  }
};

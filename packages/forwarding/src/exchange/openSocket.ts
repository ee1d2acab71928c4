/** Opens TCP connections for undici clients, with a connect time-out of their own. */
import { connect } from 'node:net';
import { SnipehavenError, afterPendingReads } from '@snipehaven/common';
import type { ConnectCallback, OpenSocket } from './types.js';

/** Idle time after which the kernel sends keep-alive probes. */
const KEEP_ALIVE_DELAY_MS = 2_000;

export class ConnectTimedOutError extends SnipehavenError {
  readonly code = 'connect_timed_out';
}

/**
 * Opens a connection with a time-out: a machine that is down or partitioned does not answer, and
 * the kernel would retry for a minute. The callback is called once. Returns the socket; `error` and
 * `end` listeners that the caller adds at once run before those of the library.
 */
export const openSocket: OpenSocket = (
  host: string,
  port: number,
  timeoutMs: number,
  callback: ConnectCallback,
) => {
  const socket = connect({
    host,
    port,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
  });
  let isSettled = false;
  const settle = (error: Error | null): void => {
    clearTimeout(timer);
    if (!isSettled) {
      isSettled = true;
      callback(error, error ? null : socket);
    }
  };
  const timer = setTimeout(() => {
    settle(new ConnectTimedOutError(`no connection within ${timeoutMs} ms`));
    socket.destroy();
  }, timeoutMs);
  socket.on('error', (error) => settle(error));
  socket.on('connect', () => {
    clearTimeout(timer);
    // The waiting caller may have disconnected meanwhile, which a busy daemon has not read yet.
    afterPendingReads(() => settle(null));
  });
  return socket;
};

/** Opens TCP connections from this daemon to one upstream. */
import { isRefusedConnection } from '@snipehaven/common';
import { CONNECT_TIMEOUT_MS } from '../constants.js';
import { ConnectTimedOutError, openSocket } from './openSocket.js';
import type { ConnectOutcome, Connector, OpenCallback, OpenSocket, ProbeOutcome } from './types.js';

export const classifyConnectError = (error: Error): Exclude<ConnectOutcome, 'connected'> => {
  if (isRefusedConnection(error)) {
    return 'refused';
  }
  return error instanceof ConnectTimedOutError ? 'timedOut' : 'failed';
};

const probeOutcomes: Readonly<Record<ConnectOutcome, ProbeOutcome>> = {
  connected: 'listening',
  refused: 'refused',
  timedOut: 'silent',
  failed: 'silent',
};

export interface DirectConnectorOptions {
  readonly host: string;
  readonly port: number;
  readonly timeoutMs?: number;
  readonly open?: OpenSocket;
  /** Called with the outcome of each attempt to connect. */
  readonly onOutcome?: (outcome: ConnectOutcome) => void;
}

export class DirectConnector implements Connector {
  readonly isBlocked = false;

  readonly #options: DirectConnectorOptions;

  constructor(options: DirectConnectorOptions) {
    this.#options = options;
  }

  open(callback: OpenCallback): () => void {
    const { host, port, timeoutMs = CONNECT_TIMEOUT_MS, open, onOutcome } = this.#options;
    let isGivenUp = false;
    (open ?? openSocket)(host, port, timeoutMs, (error, socket) => {
      onOutcome?.(error === null ? 'connected' : classifyConnectError(error));
      if (isGivenUp) {
        socket?.destroy();
      } else {
        callback(error, socket === null ? null : { stream: socket, path: 'direct' });
      }
    });
    return () => {
      isGivenUp = true;
    };
  }

  probe(): Promise<ProbeOutcome> {
    return new Promise((resolve) => {
      this.open((error, opened) => {
        opened?.stream.destroy();
        resolve(probeOutcomes[error === null ? 'connected' : classifyConnectError(error)]);
      });
    });
  }

  // There is no other path, so that nothing follows from the loss of this one.
  watchPath(): void {}

  recordActivity(): void {}

  checkPath(): void {}

  close(): void {}
}

/** Opens TCP connections from this daemon to one upstream. */
import { isRefusedConnection } from '@snipehaven/common';
import type { Socket } from 'node:net';
import { CONNECT_TIMEOUT_MS } from '../constants.js';
import { ConnectTimedOutError, openSocket } from './openSocket.js';
import type {
  ConnectCallback,
  ConnectOutcome,
  Connector,
  OpenSocket,
  ProbeOutcome,
} from './types.js';

const classifyError = (error: Error): Exclude<ConnectOutcome, 'connected'> => {
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
  readonly open?: OpenSocket;
  /** Called with the outcome of each attempt to connect. */
  readonly onOutcome?: (outcome: ConnectOutcome) => void;
}

export class DirectConnector implements Connector {
  readonly #options: DirectConnectorOptions;

  constructor(options: DirectConnectorOptions) {
    this.#options = options;
  }

  open(callback: ConnectCallback): Socket {
    const { host, port, open = openSocket, onOutcome } = this.#options;
    return open(host, port, CONNECT_TIMEOUT_MS, (error, socket) => {
      onOutcome?.(error === null ? 'connected' : classifyError(error));
      callback(error, socket);
    });
  }

  probe(): Promise<ProbeOutcome> {
    return new Promise((resolve) => {
      this.open((error, socket) => {
        socket?.destroy();
        resolve(probeOutcomes[error === null ? 'connected' : classifyError(error)]);
      });
    });
  }
}

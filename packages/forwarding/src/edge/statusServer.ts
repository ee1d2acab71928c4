/** HTTP servers for readiness checks of the load balancer and for metrics. */
import { createServer, type Server } from 'node:http';
import type { SocketAddress } from '../types.js';
import { listenOn } from './listenOn.js';

export interface StatusAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type StatusHandler = () => Promise<StatusAnswer> | StatusAnswer;

export class StatusServer {
  readonly #server: Server;

  constructor(handle: StatusHandler) {
    this.#server = createServer((request, response) => {
      request.resume();
      Promise.resolve(handle())
        .then(({ status, contentType, body }) => {
          response.writeHead(status, { 'Content-Type': contentType }).end(body);
        })
        .catch(() => response.writeHead(500).end());
    });
  }

  listen(address: SocketAddress): Promise<void> {
    return listenOn(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

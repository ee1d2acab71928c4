/** HTTP servers for readiness checks of the load balancer and for metrics. */
import type { Server } from 'node:http';
import type { SocketAddress } from '../types.js';
import {
  createBoundedServer,
  MAX_STATUS_CONNECTIONS,
  MAX_STATUS_HEAD_BYTES,
  STATUS_REQUEST_TIMEOUT_MS,
  type LimitReporter,
} from './limits/index.js';
import { listenOn } from './listenOn.js';
import { hasBody } from './requestBody.js';

export interface StatusAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type StatusHandler = () => Promise<StatusAnswer> | StatusAnswer;

const CONTENT_TOO_LARGE = 413;

export class StatusServer {
  readonly #server: Server;

  constructor(handle: StatusHandler, reporter: LimitReporter) {
    const { server } = createBoundedServer(
      {
        maxHeaderSize: MAX_STATUS_HEAD_BYTES,
        headersTimeout: STATUS_REQUEST_TIMEOUT_MS,
        requestTimeout: STATUS_REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: STATUS_REQUEST_TIMEOUT_MS,
      },
      MAX_STATUS_CONNECTIONS,
      reporter,
      (request, response) => {
        if (hasBody(request)) {
          response.writeHead(CONTENT_TOO_LARGE, { Connection: 'close' }).end();
          return;
        }
        request.resume();
        Promise.resolve(handle())
          .then(({ status, contentType, body }) => {
            response.writeHead(status, { 'Content-Type': contentType }).end(body);
          })
          .catch(() => response.writeHead(500).end());
      },
    );
    this.#server = server;
  }

  listen(address: SocketAddress): Promise<void> {
    return listenOn(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

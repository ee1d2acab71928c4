/** Small servers beside the callers': readiness for the balancer, metrics for operators. */
import { createServer, type Server } from 'node:http';

export interface StatusAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type StatusHandler = (path: string) => Promise<StatusAnswer> | StatusAnswer;

export class StatusServer {
  readonly #server: Server;

  constructor(handle: StatusHandler) {
    this.#server = createServer((request, response) => {
      request.resume();
      Promise.resolve(handle(request.url ?? '/'))
        .then(({ status, contentType, body }) => {
          response.writeHead(status, { 'Content-Type': contentType }).end(body);
        })
        .catch(() => response.writeHead(500).end());
    });
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port }, resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

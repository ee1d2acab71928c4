/**
 * Requests and responses of a server that bounds how many requests a connection sends ahead. The runtime
 * parses all requests of a piece of up to 64 KB at once, and has no limit of its own for that; it does stop
 * at a request that changes the protocol. A request beyond the limit is taken for one.
 */
import { IncomingMessage, ServerResponse, type ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import { findCallerConnection } from './callerConnections.js';

class BoundedRequest extends IncomingMessage {
  readonly #isBeyondLimit: boolean;

  constructor(socket: Socket) {
    super(socket);
    this.#isBeyondLimit = findCallerConnection(socket)?.hasRoom === false;
  }

  /** Read by the runtime before it creates a response; requests of callers to change it are ignored. */
  get upgrade(): boolean {
    return this.#isBeyondLimit || this.method === 'CONNECT';
  }

  set upgrade(_requested: boolean) {
    // Set by the runtime, also before this object is complete.
  }
}

const endRequest = function endRequest(this: ServerResponse): void {
  findCallerConnection(this.req.socket)?.endRequest();
};

class BoundedResponse extends ServerResponse<BoundedRequest> {
  constructor(...options: ConstructorParameters<typeof ServerResponse<BoundedRequest>>) {
    super(...options);
    const [request] = options;
    findCallerConnection(request.socket)?.beginRequest();
    this.once('close', endRequest);
  }
}

export const boundedMessages = {
  IncomingMessage: BoundedRequest,
  ServerResponse: BoundedResponse,
} as unknown as Pick<ServerOptions, 'IncomingMessage' | 'ServerResponse'>;

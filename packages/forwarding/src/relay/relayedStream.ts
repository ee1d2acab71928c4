/**
 * A connection to an upstream through another daemon, as a stream of bytes. It ends where the
 * upstream ended its side, and fails if the upstream reset it or the relaying daemon is gone.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Duplex } from 'node:stream';

export class RelayedStream extends Duplex {
  readonly #request: ClientRequest;

  readonly #response: IncomingMessage;

  #bytesRead = 0;

  constructor(request: ClientRequest, response: IncomingMessage) {
    super({ allowHalfOpen: false });
    this.#request = request;
    this.#response = response;
    response.on('data', (chunk: Buffer) => {
      this.#bytesRead += chunk.length;
      if (!this.push(chunk)) {
        response.pause();
      }
    });
    response.on('end', () => this.push(null));
    const fail = (error: Error): void => {
      this.destroy(error);
    };
    response.on('error', fail);
    request.on('error', fail);
  }

  /** Bytes received, as of a socket. */
  get bytesRead(): number {
    return this.#bytesRead;
  }

  override _read(): void {
    this.#response.resume();
  }

  override _write(chunk: Buffer, _encoding: unknown, callback: (error?: Error | null) => void) {
    this.#request.write(chunk, callback);
  }

  override _final(callback: () => void): void {
    this.#request.end();
    callback();
  }

  override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
    this.#request.destroy();
    callback(error);
  }
}

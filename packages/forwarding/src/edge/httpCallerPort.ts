/** Implements `CallerPort` over Node's HTTP server. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResponseFraming } from '../exchange/index.js';
import { refusalForms, type CallerPort, type Refusal } from '../runs/index.js';

/** Standard HTTP header that tells a refused caller when to retry. */
const RETRY_AFTER = 'Retry-After';

export class HttpCallerPort implements CallerPort {
  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #mustClose: () => boolean;

  #endsWithConnection = false;

  constructor(request: IncomingMessage, response: ServerResponse, mustClose: () => boolean) {
    this.#request = request;
    this.#response = response;
    this.#mustClose = mustClose;
  }

  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    framing: ResponseFraming,
  ): void {
    this.#announceClose();
    // Callers of HTTP/1.0 have no chunks.
    if (framing === 'untilClose' || (framing === 'chunked' && this.#isHttp10)) {
      this.#endsWithConnection = true;
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.setHeader('Connection', 'close');
    }
    this.#response.writeHead(status, headers);
  }

  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  end(): void {
    this.#response.end();
  }

  /**
   * A response that is ended by closing its connection would look complete after a normal close, so
   * the connection is reset.
   */
  abort(): void {
    if (this.#endsWithConnection) {
      this.#request.socket.resetAndDestroy();
    } else {
      this.#request.socket.destroy();
    }
  }

  /** Aborts a response that would look complete if its connection were closed. */
  abortUnframed(): void {
    if (this.#endsWithConnection && !this.#response.writableFinished) {
      this.abort();
    }
  }

  refuse({ reason, retryAfterS }: Refusal): void {
    const { status, message, closesConnection } = refusalForms[reason];
    const body = Buffer.from(`${JSON.stringify({ error: message, reason })}\n`);
    if (closesConnection) {
      this.#response.setHeader('Connection', 'close');
    }
    this.#announceClose();
    if (retryAfterS !== undefined) {
      this.#response.setHeader(RETRY_AFTER, String(retryAfterS));
    }
    this.#response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    this.#response.end(body);
  }

  onDrain(listener: () => void): void {
    this.#response.on('drain', listener);
  }

  get #isHttp10(): boolean {
    return this.#request.httpVersionMajor === 1 && this.#request.httpVersionMinor === 0;
  }

  #announceClose(): void {
    if (this.#mustClose()) {
      this.#response.setHeader('Connection', 'close');
    }
  }
}

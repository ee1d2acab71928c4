/** Writes one answer to a caller's HTTP response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { invariant } from '@snipehaven/common';
import type { AnswerHeaders, AnswerSink, Refusal } from '@snipehaven/routing';
import { getErrorHeaders, toErrorBody } from './errorBody.js';

/** How long a refused sender may go on sending, so that it gets to read the refusal. */
const LINGER_MS = 1_000;

export class HttpAnswerSink implements AnswerSink {
  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #readTimeoutMs: number;

  readonly #gone = new AbortController();

  #isEnded = false;

  /** A caller that reads nothing for `readTimeoutMs` while bytes wait for it counts as gone. */
  constructor(request: IncomingMessage, response: ServerResponse, readTimeoutMs: number) {
    this.#request = request;
    this.#response = response;
    this.#readTimeoutMs = readTimeoutMs;
    this.#watchCaller();
  }

  get callerGone(): AbortSignal {
    return this.#gone.signal;
  }

  begin(headers: AnswerHeaders): void {
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      ...headers,
    });
  }

  writeEvents(data: readonly string[]): Promise<void> | undefined {
    if (data.length === 0 || this.#gone.signal.aborted) {
      return undefined;
    }
    const text = data.map((item) => `data: ${item}\n\n`).join('');
    return this.#response.write(text) ? undefined : this.#waitForDrain();
  }

  end(): void {
    this.#noteEnd();
    this.#response.end();
  }

  send(
    status: number,
    contentType: string,
    body: string | Uint8Array,
    headers: AnswerHeaders,
  ): void {
    this.#noteEnd();
    this.#response.writeHead(status, {
      ...headers,
      'content-type': contentType,
      'content-length': Buffer.byteLength(body),
    });
    this.#response.end(body);
  }

  /** A started stream ends with an error event and a broken connection, so that it never looks whole. */
  refuse(refusal: Refusal, headers: AnswerHeaders): void {
    this.#noteEnd();
    const body = JSON.stringify(toErrorBody(refusal));
    if (this.#response.headersSent) {
      this.#response.write(`data: ${body}\n\n`, () => this.#response.destroy());
      return;
    }
    this.#response.writeHead(refusal.status, { ...headers, ...getErrorHeaders(refusal, body) });
    if (this.#request.complete) {
      this.#response.end(body);
    } else {
      this.#sendBeforeRequestEnds(body);
    }
  }

  /**
   * What goes wrong: a response pipelined behind another one has no connection of its own yet, and no
   * `close` comes to it when the caller goes. It would wait for the caller to read, for ever, and hold its
   * place, which one sees in `snipehaven_requests_running`. The socket is therefore watched as well.
   */
  #watchCaller(): void {
    const { socket } = this.#request;
    const leave = (): void => {
      if (!this.#response.writableFinished) {
        this.#gone.abort();
      }
    };
    socket.on('close', leave);
    this.#request.on('error', leave);
    this.#response.on('close', () => {
      socket.off('close', leave);
      leave();
    });
  }

  /**
   * What goes wrong: the refusal closes a connection on which the caller still sends. The system answers
   * the bytes that come after with a reset, and the caller sees this instead of the refusal. The body is
   * therefore thrown away for a while before the connection closes.
   */
  #sendBeforeRequestEnds(body: string): void {
    const response = this.#response;
    response.write(body);
    const finish = (): void => {
      response.end();
    };
    const timer = setTimeout(finish, LINGER_MS);
    response.on('close', () => clearTimeout(timer));
    this.#request.on('end', finish);
    this.#request.resume();
  }

  #noteEnd(): void {
    invariant(!this.#isEnded, 'wholeAnswer', 'an answer ended twice');
    this.#isEnded = true;
    this.#limitPause();
  }

  /** From now on the connection closes when no byte moves; Node lifts it when the answer is out. */
  #limitPause(): void {
    this.#response.socket?.setTimeout(this.#readTimeoutMs);
  }

  #waitForDrain(): Promise<void> {
    this.#limitPause();
    return new Promise((resolve) => {
      const finish = (): void => {
        this.#response.socket?.setTimeout(0);
        this.#response.off('drain', finish);
        this.#gone.signal.removeEventListener('abort', finish);
        resolve();
      };
      this.#response.on('drain', finish);
      this.#gone.signal.addEventListener('abort', finish);
    });
  }
}

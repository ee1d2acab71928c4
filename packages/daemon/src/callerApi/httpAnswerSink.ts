/** Writes one answer to a caller's HTTP response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { invariant } from '@snipehaven/common';
import { RUN_HEADER, type AnswerHeaders, type AnswerSink, type Refusal } from '@snipehaven/routing';

const MS_PER_SECOND = 1_000;

const toErrorBody = (refusal: Refusal): object => ({
  error: {
    message: refusal.message,
    type: refusal.type,
    code: refusal.code,
    param: null,
    run: refusal.verdict,
    ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
  },
});

export class HttpAnswerSink implements AnswerSink {
  readonly #response: ServerResponse;

  readonly #gone = new AbortController();

  #isEnded = false;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#response = response;
    response.on('close', () => {
      if (!response.writableFinished) {
        this.#gone.abort();
      }
    });
    request.on('error', () => this.#gone.abort());
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
    if (this.#response.headersSent) {
      this.#response.write(`data: ${JSON.stringify(toErrorBody(refusal))}\n\n`, () => {
        this.#response.destroy();
      });
      return;
    }
    const { retryAfterMs } = refusal;
    const body = JSON.stringify(toErrorBody(refusal));
    this.#response.writeHead(refusal.status, {
      ...headers,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [RUN_HEADER]: refusal.verdict,
      ...(retryAfterMs === undefined
        ? {}
        : {
            'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
            'retry-after-ms': String(Math.ceil(retryAfterMs)),
          }),
    });
    this.#response.end(body);
  }

  #noteEnd(): void {
    invariant(!this.#isEnded, 'wholeAnswer', 'an answer ended twice');
    this.#isEnded = true;
  }

  #waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.#response.off('drain', finish);
        this.#response.off('close', finish);
        resolve();
      };
      this.#response.on('drain', finish);
      this.#response.on('close', finish);
    });
  }
}

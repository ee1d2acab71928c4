/** Sends one request to one upstream and reports how far it got. */
import { getErrorMessage } from '@snipehaven/common';
import type { Dispatcher } from 'undici';
import type { HeaderDialect, HeaderMap } from '../types.js';
import type { ConnectionPool } from './connectionPool.js';
import type {
  ConnectionPath,
  ResponseFraming,
  ExchangeListener,
  ExchangeVerdict,
  UpstreamRequest,
} from './types.js';
import type { UpstreamConnection } from './upstreamConnection.js';

type Phase = 'connecting' | 'sent' | 'answering' | 'over';

const verdictByPhase: Readonly<Record<Exclude<Phase, 'over'>, ExchangeVerdict>> = {
  connecting: 'notSent',
  sent: 'unknown',
  answering: 'broken',
};

/** Statuses whose responses have no body. */
const BODILESS_STATUSES = new Set([204, 304]);

const getResponseFraming = (status: number, headers: HeaderMap): ResponseFraming => {
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunked';
  }
  return headers['content-length'] !== undefined || BODILESS_STATUSES.has(status)
    ? 'length'
    : 'untilClose';
};

export class Exchange implements Dispatcher.DispatchHandler {
  readonly #pool: ConnectionPool;

  readonly #connection: UpstreamConnection;

  readonly #request: UpstreamRequest;

  readonly #dialect: HeaderDialect;

  readonly #listener: ExchangeListener;

  #phase: Phase = 'connecting';

  #controller: Dispatcher.DispatchController | undefined;

  #framing: ResponseFraming = 'length';

  constructor(
    pool: ConnectionPool,
    request: UpstreamRequest,
    dialect: HeaderDialect,
    listener: ExchangeListener,
  ) {
    this.#pool = pool;
    this.#request = request;
    this.#dialect = dialect;
    this.#listener = listener;
    this.#connection = pool.acquire(request.isFreshConnectionNeeded);
  }

  start(): this {
    const { method, target, headers, body } = this.#request;
    this.#connection.dispatch(
      {
        method,
        path: target,
        headers: headers as Record<string, string>,
        body: body.length > 0 ? body : null,
        // The undici client must not retry or queue the request itself.
        idempotent: false,
      },
      this,
    );
    return this;
  }

  /** Undefined until the connection is open. */
  get path(): ConnectionPath | undefined {
    return this.#connection.path;
  }

  /** Cancels the request at the upstream by closing its connection. */
  abort(): void {
    if (this.#phase !== 'over') {
      this.#phase = 'over';
      this.#connection.destroy();
    }
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#phase === 'over') {
      controller.abort(new Error('request aborted'));
      return;
    }
    this.#phase = 'sent';
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[]>,
  ): void {
    if (this.#phase !== 'sent' || status < 200) {
      return;
    }
    const facts = this.#dialect.readAnswer(status, headers);
    // An upstream may send a response twice, and the second one arrives where the response to the
    // next request is expected. Only the echoed attempt id tells them apart, and the connection
    // must not be reused.
    if (facts.attemptId !== this.#request.attemptId && !facts.isNotRun) {
      this.#fail(`response belongs to another attempt: ${facts.attemptId ?? 'none'}`);
      return;
    }
    this.#phase = 'answering';
    this.#framing = getResponseFraming(status, headers);
    this.#listener.onHead({ status, headers, facts, framing: this.#framing });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#phase === 'answering') {
      this.#listener.onData(chunk);
    }
  }

  onResponseEnd(): void {
    if (this.#phase !== 'answering') {
      return;
    }
    if (this.#connection.hasFailed || (this.#framing === 'chunked' && this.#connection.hasEnded)) {
      this.#fail('connection closed before the response was complete');
      return;
    }
    this.#phase = 'over';
    this.#pool.release(this.#connection);
    this.#listener.onEnd();
  }

  onResponseError(_controller: unknown, error: Error): void {
    this.#fail(getErrorMessage(error));
  }

  #fail(cause: string): void {
    const phase = this.#phase;
    if (phase === 'over') {
      return;
    }
    this.#phase = 'over';
    this.#connection.destroy();
    this.#listener.onFailure({ verdict: verdictByPhase[phase], cause });
  }
}

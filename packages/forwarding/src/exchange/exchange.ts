/** Sends one request to one upstream and tells how far it came. */
import { getErrorMessage } from '@snipehaven/common';
import type { Dispatcher } from 'undici';
import type { HeaderDialect, HeaderMap } from '../types.js';
import type { ConnectionPool } from './connectionPool.js';
import type {
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

/** Statuses whose answers have no body. */
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
        // The client must not repeat or queue it by itself.
        idempotent: false,
      },
      this,
    );
    return this;
  }

  /** Ends the request at the upstream by closing its connection. */
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
      controller.abort(new Error('given up'));
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
    // An upstream may answer twice; the second answer lies where the next one is expected. Only the
    // echoed id tells them apart, and the connection can't be trusted any more.
    if (facts.attemptId !== this.#request.attemptId && !facts.isNotRun) {
      this.#fail(`answer of another attempt: ${facts.attemptId ?? 'none'}`);
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
      this.#fail('connection ended within the answer');
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

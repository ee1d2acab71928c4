/** Sends one request to one upstream and reports how far it got. */
import { getErrorMessage, shortenName } from '@snipehaven/common';
import type { Dispatcher } from 'undici';
import type { AnswerMetadata, HeaderDialect, HeaderMap } from '../types.js';
import { MAX_ANSWER_BYTES } from '../constants.js';
import type { ConnectionPool } from './connectionPool.js';
import type {
  ConnectionPath,
  ResponseFraming,
  ExchangeListener,
  ExchangeVerdict,
  ForeignAnswer,
  UpstreamRequest,
} from './types.js';
import type { UpstreamConnection } from './upstreamConnection.js';

/** Interim responses (status 1xx) that an upstream may send to one request. */
const MAX_INTERIM_RESPONSES = 8;

/** Bytes of a response besides its body: the head, chunk sizes, trailers and what is being read. */
const MAX_FRAMING_BYTES = 262_144;

/** Framing bytes for each byte of the body that arrives in chunks of one byte, with a margin. */
const MAX_FRAMING_PER_BODY_BYTE = 16;

/** Pieces of a body that are read before other work gets its turn; chunks may be as small as a byte. */
const MAX_PIECES_PER_TURN = 4_096;

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

  #framing: ResponseFraming = 'length';

  #interimResponses = 0;

  #bodyBytes = 0;

  #piecesLeft = MAX_PIECES_PER_TURN;

  /** The listener wants no bytes at present. */
  #isPaused = false;

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
    this.#connection = pool.acquire(request.isFreshConnectionNeeded, request.usedConnections);
    request.usedConnections.add(this.#connection);
  }

  start(): this {
    const { method, target, headers, body, attemptId } = this.#request;
    this.#connection.dispatch(
      shortenName(attemptId),
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

  /** What has been read from the connection already is delivered all the same. */
  pause(): void {
    if (this.#phase === 'answering') {
      this.#isPaused = true;
      this.#connection.pause();
    }
  }

  resume(): void {
    this.#isPaused = false;
    if (this.#phase === 'answering' && this.#piecesLeft > 0) {
      this.#connection.resume();
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#phase === 'over') {
      controller.abort(new Error('request aborted'));
      return;
    }
    this.#phase = 'sent';
    this.#connection.watchBytes((received) => this.#onReadable(received));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[]>,
  ): void {
    if (this.#phase !== 'sent') {
      return;
    }
    if (status < 200) {
      this.#countInterimResponse();
      return;
    }
    const facts = this.#dialect.readAnswer(status, headers);
    if (!this.#isOwnAnswer(facts)) {
      const { attemptId } = facts;
      this.#fail(`response belongs to another attempt: ${attemptId ?? 'none'}`, {
        status,
        ...(attemptId === undefined ? {} : { attemptId }),
      });
      return;
    }
    this.#phase = 'answering';
    if (Number(headers['content-length'] ?? 0) > MAX_ANSWER_BYTES) {
      this.#fail(`response is longer than ${MAX_ANSWER_BYTES} bytes`);
      return;
    }
    this.#framing = getResponseFraming(status, headers);
    this.#listener.onHead({ status, headers, facts, framing: this.#framing });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#phase !== 'answering') {
      return;
    }
    this.#bodyBytes += chunk.length;
    if (this.#bodyBytes > MAX_ANSWER_BYTES) {
      this.#fail(`response is longer than ${MAX_ANSWER_BYTES} bytes`);
      return;
    }
    this.#listener.onData(chunk);
    this.#takeTurn();
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

  /** Reads on in the next turn of the event loop once enough pieces were read in this one. */
  #takeTurn(): void {
    this.#piecesLeft -= 1;
    if (this.#piecesLeft !== 0 || this.#phase !== 'answering') {
      return;
    }
    this.#connection.pause();
    setImmediate(() => {
      this.#piecesLeft = MAX_PIECES_PER_TURN;
      if (!this.#isPaused && this.#phase === 'answering') {
        this.#connection.resume();
      }
    });
  }

  /**
   * An upstream may send an answer twice, a rejection too, and the second one arrives where the
   * answer to the next request is expected. An upstream that cannot read a request rejects it
   * without an id.
   */
  #isOwnAnswer({ attemptId, isNotRun }: AnswerMetadata): boolean {
    return attemptId === undefined
      ? isNotRun && this.#connection.isFirstRequest
      : attemptId === this.#request.attemptId;
  }

  #countInterimResponse(): void {
    this.#interimResponses += 1;
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
      this.#fail('too many interim responses');
    }
  }

  /** `received`: bytes that arrived on the connection since the request was sent. */
  #onReadable(received: number): void {
    this.#listener.onReadable();
    const allowed = MAX_FRAMING_BYTES + this.#bodyBytes * (1 + MAX_FRAMING_PER_BODY_BYTE);
    if (received > allowed) {
      this.#fail('too many bytes that belong to no body');
    }
  }

  #fail(cause: string, foreignAnswer?: ForeignAnswer): void {
    const phase = this.#phase;
    if (phase === 'over') {
      return;
    }
    this.#phase = 'over';
    this.#connection.destroy();
    this.#listener.onFailure({
      verdict: verdictByPhase[phase],
      cause,
      ...(foreignAnswer === undefined ? {} : { foreignAnswer }),
    });
  }
}

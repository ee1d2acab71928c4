/** The HTTP/1.1 server for callers. */
import { afterPendingReads, shortenName } from '@snipehaven/common';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RouteTable } from '../configuration/routeTable.js';
import {
  BUSY_RETRY_AFTER_S,
  LEAVING_RETRY_AFTER_S,
  NOT_READY_RETRY_AFTER_S,
} from '../constants.js';
import {
  ForwardRun,
  buildRefusal,
  isRefused,
  resolveRequest,
  type ForwardDependencies,
  type Refusal,
  type RefusalReason,
  type Resolution,
} from '../runs/index.js';
import type { RequestOptions, SocketAddress } from '../types.js';
import { HttpCallerPort, type CallerPortContext } from './httpCallerPort.js';
import {
  BodyMemory,
  createBoundedServer,
  findCallerConnection,
  HEAD_PER_HEADER_LIMIT,
  INITIAL_HEADER_TIMEOUT_MS,
  INITIAL_MAX_BODY_BYTES,
  INITIAL_MAX_HEADER_BYTES,
  LINGER_MS,
  ReadingTurns,
  UnreadAnswers,
  type CallerConnections,
  type CallerLimit,
  type CallerLimits,
  type LimitReporter,
} from './limits/index.js';
import { listenOn, adoptListener } from './listenOn.js';
import { CallerBodyReader, NO_BODY, type CallerBody } from './callerBodyReader.js';
import { hasBody } from './requestBody.js';
import { StartupQueue } from './startupQueue.js';
import type { CallerListener } from './types.js';

/** Interval at which Node checks for callers that send their headers too slowly. */
const HEADER_TIMEOUT_CHECK_MS = 500;

/**
 * Idle connections are kept this much longer than callers may reuse them, so that no request
 * arrives while the server closes its connection.
 */
const IDLE_MARGIN_MS = 1_000;

interface ClientError {
  readonly status: string;
  readonly message: string;
  /** Only where the request has not run and may be sent again. */
  readonly retryAfterS?: number;
}

const BAD_REQUEST: ClientError = { status: '400 Bad Request', message: 'malformed request' };

/** By the runtime's error code. */
const clientErrors: Readonly<Record<string, ClientError>> = {
  HPE_HEADER_OVERFLOW: {
    status: '431 Request Header Fields Too Large',
    message: 'headers or trailers too large',
  },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: {
    status: '413 Content Too Large',
    message: 'extensions of chunks too large',
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: '408 Request Timeout',
    message: 'not run: the request did not arrive in time',
    retryAfterS: BUSY_RETRY_AFTER_S,
  },
};

const renderClientError = ({ status, message, retryAfterS }: ClientError): string => {
  const body = `${JSON.stringify({ error: message })}\n`;
  const lines = [
    `HTTP/1.1 ${status}`,
    'Connection: close',
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    ...(retryAfterS === undefined ? [] : [`Retry-After: ${retryAfterS}`]),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
};

/** The shortest header: a name of one character, and the four that enclose names and values. */
const MIN_HEADER_BYTES = 5;

const getHeaderBytes = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

const isDisconnected = (socket: Socket): boolean => socket.destroyed || socket.readableEnded;

export class FrontServer {
  readonly #dependencies: ForwardDependencies;

  readonly #server: Server;

  readonly #startupQueue: StartupQueue;

  #isDraining = false;

  #isClosed = false;

  readonly #running = new Set<HttpCallerPort>();

  readonly #limits: CallerLimits;

  readonly #reporter: LimitReporter;

  readonly #connections: CallerConnections;

  readonly #bodies: BodyMemory;

  readonly #unreadAnswers: UnreadAnswers;

  readonly #turns = new ReadingTurns();

  readonly #portContext: CallerPortContext;

  #maxHeaderBytes = INITIAL_MAX_HEADER_BYTES;

  #headerLimitRaisedAtMs = -Infinity;

  /** Connections on which the body of a request is being received. */
  readonly #receiving = new WeakSet<Socket>();

  constructor(reporter: LimitReporter, limits: CallerLimits, dependencies: ForwardDependencies) {
    this.#dependencies = dependencies;
    this.#startupQueue = new StartupQueue(() => this.isInformed);
    this.#limits = limits;
    this.#reporter = reporter;
    this.#bodies = new BodyMemory(this.#limits);
    this.#unreadAnswers = new UnreadAnswers(this.#limits.maxUnreadBytes);
    this.#portContext = this.#createPortContext();
    const { server, connections } = createBoundedServer(
      {
        headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
        connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS,
        requireHostHeader: false,
        noDelay: true,
      },
      this.#limits.maxConnections,
      this.#reporter,
      (request, response) => this.#receive(request, response),
    );
    this.#server = server;
    this.#connections = connections;
    this.#applyHeaderLimit(this.#maxHeaderBytes);
    this.#server.on('clientError', (error, socket) =>
      this.#answerClientError(error, socket as Socket),
    );
    dependencies.configuration.onChange((table) => this.#applyLimits(table));
  }

  /**
   * True once routes, upstreams and the state of roll-outs are known, so that requests can be
   * forwarded.
   */
  get isInformed(): boolean {
    const { configuration, directory, rollouts } = this.#dependencies;
    return configuration.table !== undefined && directory.isListed && rollouts.isStateKnown;
  }

  get inFlight(): number {
    return this.#running.size;
  }

  /** Open connections of callers. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Bytes of request bodies that are held. */
  get bodyBytes(): number {
    return this.#bodies.heldBytes;
  }

  /** Bytes of responses that wait for their callers to read them. */
  get unreadBytes(): number {
    return this.#unreadAnswers.heldBytes;
  }

  /** Adopts `listener` if it listens at this address. */
  listen(address: SocketAddress, listener?: CallerListener): Promise<void> {
    const isAlreadyListening = listener?.host === address.host && listener.port === address.port;
    return isAlreadyListening
      ? adoptListener(this.#server, listener)
      : listenOn(this.#server, address);
  }

  /** From now on each response announces that its connection closes. */
  leave(): void {
    this.#isDraining = true;
  }

  /**
   * Closes idle connections. A response that began before draining did not announce the close, so
   * its connection may become idle later; to be called repeatedly, as a request accepted on such a
   * connection late in the grace period would be cut off at its end.
   */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /**
   * Accepts no more connections and requests: callers are refused at once and retry elsewhere. A
   * stream that began now would be cut off at the end of the grace period.
   */
  stopTaking(): void {
    this.#isClosed = true;
    this.#server.close();
  }

  /**
   * Aborts the responses that would look whole if this process exited now. The others are cut by its exit,
   * and may still end before.
   */
  abortUnframed(): void {
    this.#running.forEach((port) => port.abortUnframed());
  }

  /** Closes all connections, including those with running requests. */
  destroy(): void {
    this.#server.close();
    this.abortUnframed();
    this.#server.closeAllConnections();
  }

  #applyLimits({ configuration }: RouteTable): void {
    const { headerTimeoutMs, idleTimeoutMs, maxHeaderBytes, maxBodyBytes } = configuration.limits;
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    // A request that takes longer to arrive than any may take to be answered can't be served.
    this.#server.requestTimeout = Math.max(
      headerTimeoutMs,
      ...configuration.routes.map(({ timeoutMs }) => timeoutMs),
    );
    this.#bodies.maxBodyBytes = maxBodyBytes;
    this.#applyHeaderLimit(maxHeaderBytes);
  }

  /** The runtime reads it for each new connection, and keeps it for that. */
  #applyHeaderLimit(maxHeaderBytes: number): void {
    if (maxHeaderBytes > this.#maxHeaderBytes) {
      this.#headerLimitRaisedAtMs = performance.now();
    }
    this.#maxHeaderBytes = maxHeaderBytes;
    Object.assign(this.#server, {
      maxHeaderSize: maxHeaderBytes * HEAD_PER_HEADER_LIMIT,
      maxHeadersCount: Math.ceil(maxHeaderBytes / MIN_HEADER_BYTES),
    });
  }

  /** Whether longer headers are allowed than on this connection. */
  #hasOldHeaderLimit(socket: Socket): boolean {
    const openedAtMs = findCallerConnection(socket)?.openedAtMs ?? Infinity;
    return openedAtMs < this.#headerLimitRaisedAtMs;
  }

  #createPortContext(): CallerPortContext {
    const getLimits = () => this.#dependencies.configuration.table?.configuration.limits;
    return {
      unreadAnswers: this.#unreadAnswers,
      mustClose: ({ socket }) => this.#isDraining || this.#hasOldHeaderLimit(socket),
      getIdleTimeoutMs: () => getLimits()?.idleTimeoutMs ?? INITIAL_HEADER_TIMEOUT_MS,
      getMaxBodyBytes: () => getLimits()?.maxBodyBytes ?? INITIAL_MAX_BODY_BYTES,
      onUnreadDropped: ({ socket }) => this.#report('unreadBytes', socket),
      onEndlessBody: ({ socket }) => this.#report('bodyAfterRefusal', socket),
    };
  }

  #report(limit: CallerLimit, { remoteAddress }: Socket): void {
    this.#reporter.report(limit, remoteAddress);
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = performance.now();
    // The runtime would collect what arrives while the request waits, however small its pieces are.
    const early =
      this.isInformed || !hasBody(request)
        ? undefined
        : this.#readBody(request, INITIAL_MAX_BODY_BYTES);
    this.#startupQueue.enqueue(() => this.#handle(request, response, arrivedAtMs, early));
  }

  #readBody(request: IncomingMessage, maxBytes: number): CallerBodyReader {
    return new CallerBodyReader(request, maxBytes, this.#bodies, this.#turns);
  }

  /** `early`: reads the body already, up to a limit that the configuration may not have. */
  #handle(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
    early: CallerBodyReader | undefined,
  ): void {
    const port = new HttpCallerPort(request, response, this.#portContext);
    const { configuration, dialect } = this.#dependencies;
    const options = dialect.readRequest(request.headers);
    this.#dependencies.stalls.note('callerRequest', shortenName(options.attemptId));
    const refusal = this.#findRefusal(request, options);
    if (refusal !== undefined) {
      early?.cancel();
      this.#refuse(port, options, refusal);
      return;
    }
    if (!hasBody(request)) {
      request.resume();
      this.#run(request, response, port, options, NO_BODY, arrivedAtMs);
      return;
    }
    const maxBodyBytes = configuration.table?.configuration.limits.maxBodyBytes ?? 0;
    const reader = early ?? this.#readBody(request, maxBodyBytes);
    this.#receiving.add(request.socket);
    reader.deliver((body) => {
      this.#receiving.delete(request.socket);
      const isBeyondLimit = early === undefined || maxBodyBytes <= INITIAL_MAX_BODY_BYTES;
      if (body === 'tooLarge' && isBeyondLimit) {
        this.#refuse(port, options, { reason: 'bodyTooLarge' });
      } else if (body === 'tooLarge' || body === 'noMemory') {
        this.#report('bodyBytes', request.socket);
        this.#refuse(port, options, buildRefusal('overloaded'));
      } else if (body !== 'gone' && body.bytes.length > maxBodyBytes) {
        body.release();
        this.#refuse(port, options, { reason: 'bodyTooLarge' });
      } else if (body !== 'gone') {
        this.#run(request, response, port, options, body, arrivedAtMs);
      }
    });
  }

  #findRefusal(request: IncomingMessage, options: RequestOptions): Refusal | undefined {
    const { table } = this.#dependencies.configuration;
    if (table === undefined) {
      return { reason: 'notReady', retryAfterS: NOT_READY_RETRY_AFTER_S };
    }
    if (this.#isClosed) {
      return { reason: 'leaving', retryAfterS: LEAVING_RETRY_AFTER_S };
    }
    const reason = this.#findRefusalReason(request, table, options);
    return reason === undefined ? undefined : buildRefusal(reason);
  }

  #findRefusalReason(
    request: IncomingMessage,
    table: RouteTable,
    options: RequestOptions,
  ): RefusalReason | undefined {
    const { headers, rawHeaders, httpVersion } = request;
    if (getHeaderBytes(rawHeaders) > table.configuration.limits.maxHeaderBytes) {
      return 'headersTooLarge';
    }
    if (headers.host === undefined && httpVersion === '1.1') {
      return 'badRequest';
    }
    if (this.#connections.requests > this.#limits.maxRequests) {
      this.#report('requests', request.socket);
      return 'overloaded';
    }
    const resolution = this.#resolve(request, table, options);
    if (isRefused(resolution)) {
      return resolution;
    }
    const { configuration, maxKeyAgeMs } = this.#dependencies;
    // A key may have been revoked since the configuration was last confirmed.
    const isStale = resolution.team !== undefined && configuration.freshness.ageMs > maxKeyAgeMs;
    return isStale ? 'staleConfiguration' : undefined;
  }

  #resolve(request: IncomingMessage, table: RouteTable, options: RequestOptions): Resolution {
    const resolution = resolveRequest(table, {
      host: request.headers.host ?? '',
      target: request.url ?? '/',
      teamKey: options.teamKey,
    });
    // A route or key that is missing here may have been added since the last confirmation.
    const isInconclusive = isRefused(resolution) && !this.#dependencies.absenceCheck.isConclusive();
    return isInconclusive ? 'staleConfiguration' : resolution;
  }

  #run(
    request: IncomingMessage,
    response: ServerResponse,
    port: HttpCallerPort,
    options: RequestOptions,
    body: CallerBody,
    arrivedAtMs: number,
  ): void {
    // The server may have stopped accepting requests while the body was being read.
    if (this.#isClosed) {
      body.release();
      this.#refuse(port, options, { reason: 'leaving', retryAfterS: LEAVING_RETRY_AFTER_S });
      return;
    }
    const { table } = this.#dependencies.configuration;
    const resolution = table ? this.#resolve(request, table, options) : 'notReady';
    if (isRefused(resolution)) {
      body.release();
      this.#refuse(port, options, buildRefusal(resolution));
      return;
    }
    const run = new ForwardRun(
      this.#dependencies,
      {
        method: request.method ?? 'GET',
        host: request.headers.host ?? '',
        target: request.url ?? '/',
        headers: request.headers,
        options,
        body: body.bytes,
        arrivedAtMs,
      },
      resolution,
      port,
    );
    this.#running.add(port);
    response.once('finish', () => this.#closeIfDraining(request.socket));
    const connection = findCallerConnection(request.socket);
    const end = (): void => {
      connection?.endRun(end);
      if (this.#running.delete(port)) {
        port.forgetUnread();
        body.release();
      }
      if (!response.writableFinished) {
        run.cancel();
      }
    };
    connection?.beginRun(end);
    response.once('close', end);
    // A busy daemon may read a request long after it arrived, when its caller has already
    // disconnected. The end of the connection follows the request in the socket buffer, so pending
    // reads are processed first; otherwise upstreams would work for nobody.
    afterPendingReads(() => {
      const { socket } = request;
      if (socket.writableEnded) {
        // The server ended the connection after the previous response, so no response can be written.
        socket.destroy();
      } else if (isDisconnected(socket)) {
        run.cancel();
      } else {
        run.start();
      }
    });
  }

  /** A response that began before draining did not announce that its connection closes. */
  #closeIfDraining(socket: Socket): void {
    if (this.#isDraining) {
      socket.end();
    }
  }

  #refuse(port: HttpCallerPort, options: RequestOptions, refusal: Refusal): void {
    const { logger, metrics, configuration } = this.#dependencies;
    logger.info({
      event: 'refusedAtOnce',
      request: shortenName(options.attemptId),
      reason: refusal.reason,
      configuration: configuration.table?.configuration.version,
      configurationAgeMs: Math.round(configuration.freshness.ageMs),
    });
    metrics.countRefused(refusal.reason);
    port.refuse(refusal);
  }

  /** Answers in place of a request that can't be read, unless another one's answer is due first. */
  #answerClientError(error: Error & { code?: string }, socket: Socket): void {
    if (socket.destroyed) {
      return;
    }
    const cause = clientErrors[error.code ?? ''] ?? BAD_REQUEST;
    const { logger, metrics } = this.#dependencies;
    logger.info({ event: 'malformedRequest', code: error.code, status: cause.status });
    metrics.countRefused('malformed');
    if (!socket.writable || !this.#isAnswerExpected(socket)) {
      socket.destroy();
      return;
    }
    socket.end(renderClientError(cause));
    socket.pause();
    setTimeout(() => socket.destroy(), LINGER_MS).unref();
  }

  #isAnswerExpected(socket: Socket): boolean {
    const unanswered = findCallerConnection(socket)?.unanswered ?? 0;
    return unanswered === 0 || (unanswered === 1 && this.#receiving.has(socket));
  }
}

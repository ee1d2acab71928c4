/**
 * The connections of one listening port. When there are as many as allowed, the one on which no request has
 * been running for longest is closed for the next, so that silent clients lock nobody out.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { ACCEPT_MARGIN, MAX_REQUESTS_AHEAD, MIN_WAITING_MS } from './constants.js';
import type { LimitReporter } from './limitReporter.js';

/** Connections by socket: the runtime hands out sockets alone. */
const connectionsBySocket = new WeakMap<Socket, CallerConnection>();

/** Undefined for a socket that no `CallerConnections` has admitted. */
export const findCallerConnection = (socket: Socket): CallerConnection | undefined =>
  connectionsBySocket.get(socket);

export class CallerConnection {
  readonly #registry: CallerConnections;

  readonly socket: Socket;

  readonly openedAtMs = performance.now();

  #waitingSinceMs = this.openedAtMs;

  #unanswered = 0;

  #running = 0;

  readonly #closeListeners = new Set<() => void>();

  constructor(registry: CallerConnections, socket: Socket) {
    this.#registry = registry;
    this.socket = socket;
    socket.once('close', () => {
      this.#registry.remove(this);
      this.#closeListeners.forEach((onClose) => onClose());
    });
  }

  /** Requests that are read and not answered. */
  get unanswered(): number {
    return this.#unanswered;
  }

  get hasRoom(): boolean {
    return this.#unanswered < MAX_REQUESTS_AHEAD;
  }

  /** Since when no request of it has been running. */
  get waitingSinceMs(): number {
    return this.#waitingSinceMs;
  }

  /** A request is read, as far as its head. */
  beginRequest(): void {
    this.#unanswered += 1;
    this.#registry.countRequests(this, 1);
  }

  endRequest(): void {
    this.#unanswered -= 1;
    this.#registry.countRequests(this, -1);
    this.#waitIfNoneRuns();
  }

  /**
   * A request that is read whole begins to run. `onClose` is called if the connection closes before `endRun`:
   * a response that waits for an earlier one of its connection is not told of the close.
   */
  beginRun(onClose: () => void): void {
    this.#running += 1;
    this.#closeListeners.add(onClose);
    this.#registry.noteRunning(this);
  }

  endRun(onClose: () => void): void {
    if (this.#closeListeners.delete(onClose)) {
      this.#running -= 1;
      this.#waitIfNoneRuns();
    }
  }

  #waitIfNoneRuns(): void {
    if (this.#running === 0) {
      this.#waitingSinceMs = performance.now();
      this.#registry.noteWaiting(this);
    }
  }
}

export class CallerConnections {
  readonly #reporter: LimitReporter;

  readonly #maxConnections: number;

  readonly #all = new Set<CallerConnection>();

  /** Those on which no request runs, the one that has been so for longest first. */
  readonly #waiting = new Set<CallerConnection>();

  #requests = 0;

  constructor(server: Server, maxConnections: number, reporter: LimitReporter) {
    this.#reporter = reporter;
    this.#maxConnections = maxConnections;
    Object.assign(server, { maxConnections: maxConnections + ACCEPT_MARGIN });
    server.on('connection', (socket) => this.#admit(socket));
    server.on('drop', (data) => {
      reporter.report('connections', data?.remoteAddress);
      this.#closeLongestWaiting();
    });
    server.on('upgrade', (_request, socket: Socket) => {
      reporter.report('requestsAhead', socket.remoteAddress);
      socket.destroy();
    });
  }

  get size(): number {
    return this.#all.size;
  }

  /** Requests that are read and not answered. */
  get requests(): number {
    return this.#requests;
  }

  countRequests(connection: CallerConnection, change: number): void {
    if (this.#all.has(connection)) {
      this.#requests += change;
    }
  }

  noteRunning(connection: CallerConnection): void {
    this.#waiting.delete(connection);
  }

  /** Called when the connection has ended a request and runs no other. */
  noteWaiting(connection: CallerConnection): void {
    this.#waiting.delete(connection);
    if (this.#all.has(connection)) {
      this.#waiting.add(connection);
    }
  }

  remove(connection: CallerConnection): void {
    if (this.#all.delete(connection)) {
      this.#requests -= connection.unanswered;
      this.#waiting.delete(connection);
    }
  }

  #admit(socket: Socket): void {
    const isFull = this.#all.size >= this.#maxConnections;
    if (isFull && !this.#closeLongestWaiting()) {
      this.#reporter.report('connections', socket.remoteAddress);
      socket.destroy();
      return;
    }
    const connection = new CallerConnection(this, socket);
    connectionsBySocket.set(socket, connection);
    this.#all.add(connection);
    this.#waiting.add(connection);
  }

  #closeLongestWaiting(): boolean {
    const [longest] = this.#waiting;
    if (longest === undefined || performance.now() - longest.waitingSinceMs < MIN_WAITING_MS) {
      return false;
    }
    this.#reporter.report('idleConnections', longest.socket.remoteAddress);
    this.remove(longest);
    longest.socket.destroy();
    return true;
  }
}

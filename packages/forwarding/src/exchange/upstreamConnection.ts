/**
 * One connection to an upstream. It has an undici client of its own, so that requests never wait in
 * a hidden queue of the library and the state of the socket is known.
 */
import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import type { ConnectionEnd, ConnectionEnding } from './connectionEnds.js';
import { isReset } from './isReset.js';
import type {
  ConnectCallback,
  ConnectionPath,
  Connector,
  CountingStream,
  OpenedConnection,
} from './types.js';

/**
 * Margin before the upstream's announced idle time-out at which the connection is closed on this
 * side.
 */
const KEEP_ALIVE_MARGIN_MS = 700;
const MAX_RESPONSE_HEADER_BYTES = 65_536;

/** Required by the client, which neither resolves nor sends it: requests have a `Host` of their own. */
const UPSTREAM_ORIGIN = 'http://upstream';

/** Whether the HTTP client itself destroyed the connection, as after an idle time-out. */
const isClientError = ({ code }: NodeJS.ErrnoException): boolean =>
  code?.startsWith('UND_ERR') === true;

export interface ConnectionObserver {
  /** Called when it is open. `startedAtMs`: when it began to be opened. */
  onOpened(connection: UpstreamConnection, startedAtMs: number): void;
  /** Called when the upstream or the network ends it. */
  onEnded(connection: UpstreamConnection, end: ConnectionEnd): void;
  /** Called when it is closed, whoever ended it. */
  onClosed(connection: UpstreamConnection): void;
}

export class UpstreamConnection {
  readonly #client: Client;

  readonly #observer: ConnectionObserver;

  /** The attempt that it carries; undefined while it is idle. */
  #attemptId: string | undefined;

  #stream: CountingStream | undefined;

  #path: ConnectionPath | undefined;

  #giveUp: (() => void) | undefined;

  #hasFailed = false;

  #hasEnded = false;

  #idleSinceMs = 0;

  #requests = 0;

  #isPaused = false;

  #onReadable = (): void => {};

  constructor(connector: Connector, observer: ConnectionObserver) {
    this.#observer = observer;
    const open = (_options: unknown, callback: ConnectCallback): void => {
      this.#open(connector, callback);
    };
    this.#client = new Client(UPSTREAM_ORIGIN, {
      connect: open as never,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    });
  }

  /** Undefined until the connection is open. */
  get path(): ConnectionPath | undefined {
    return this.#path;
  }

  /**
   * True if another request can be sent without reconnecting. A relayed connection carries one
   * request, so that the daemon that relays it need not keep idle ones while it leaves.
   */
  get isUsable(): boolean {
    const stream = this.#stream;
    return (
      stream !== undefined &&
      this.#path === 'direct' &&
      !stream.destroyed &&
      !this.#hasEnded &&
      !this.#hasFailed
    );
  }

  /** True after the socket was reset or failed otherwise. */
  get hasFailed(): boolean {
    return this.#hasFailed;
  }

  /** True after the upstream closed its side. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether the request on it is the first one, so that it holds no bytes of an earlier answer. */
  get isFirstRequest(): boolean {
    return this.#requests === 1;
  }

  /** Reports how many bytes have arrived since now, whenever more of them arrive. */
  watchBytes(onBytes: (received: number) => void): void {
    const before = this.#receivedBytes;
    this.#onReadable = () => onBytes(this.#receivedBytes - before);
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    if (this.#isPaused) {
      this.#isPaused = false;
      // Announced before, and left unread.
      this.#stream?.emit('readable');
    }
  }

  get idleMs(): number {
    return performance.now() - this.#idleSinceMs;
  }

  markIdle(): void {
    this.#isPaused = false;
    this.#attemptId = undefined;
    this.#idleSinceMs = performance.now();
  }

  dispatch(
    attemptId: string,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.#requests += 1;
    this.#attemptId = attemptId;
    this.#client.dispatch(options, handler);
  }

  destroy(): void {
    this.#giveUp?.();
    this.#stream?.destroy();
    this.#client.destroy().catch(() => {
      // Destroying twice is harmless, but undici reports it as an error.
    });
  }

  get #receivedBytes(): number {
    return this.#stream?.bytesRead ?? 0;
  }

  #open(connector: Connector, callback: ConnectCallback): void {
    const startedAtMs = performance.now();
    this.#giveUp = connector.open((error, opened) => {
      this.#giveUp = undefined;
      if (opened !== null) {
        this.#adopt(opened, startedAtMs);
      }
      // The client reads and writes a stream; it needs nothing else of a socket.
      callback(error, (opened?.stream ?? null) as Socket | null);
    });
  }

  #adopt(opened: OpenedConnection, startedAtMs: number): void {
    const { stream, path } = opened;
    this.#stream = stream;
    this.#path = path;
    this.#observer.onOpened(this, startedAtMs);
    stream.on('close', () => this.#observer.onClosed(this));
    // The client must not be paused itself: it then throws when the connection ends or is closed.
    const read = stream.read.bind(stream);
    stream.read = (size?: number): unknown => (this.#isPaused ? null : read(size));
    // These listeners run before the library's own. undici reports a response without a length, or
    // a chunked one on a connection that closes, as complete when the socket is reset or ends
    // early; the exchange reads these flags to recognize an incomplete response.
    stream.on('error', (error: NodeJS.ErrnoException) => {
      this.#hasFailed = true;
      if (!isClientError(error)) {
        this.#reportEnd('reset');
      }
    });
    stream.on('end', () => {
      this.#hasEnded = true;
      this.#hasFailed ||= isReset(stream);
      this.#reportEnd(this.#hasFailed ? 'reset' : 'closed');
    });
    stream.on('readable', () => this.#onReadable());
  }

  #reportEnd(ending: ConnectionEnding): void {
    const end = { atMs: performance.now(), ending, attemptId: this.#attemptId };
    this.#observer.onEnded(this, end);
  }
}

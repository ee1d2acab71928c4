/**
 * One connection to an upstream: an undici client of its own, so that a request never waits in a
 * queue of the library unseen, and what happened to its socket is known.
 */
import type { Socket } from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { CONNECT_TIMEOUT_MS } from '../constants.js';
import { openSocket, type ConnectCallback } from './openSocket.js';

/** How much before an upstream's announced idle time-out its connection is closed here. */
const KEEP_ALIVE_MARGIN_MS = 700;
const MAX_RESPONSE_HEADER_BYTES = 65_536;

export class UpstreamConnection {
  readonly #client: Client;

  readonly #onConnected: (tookMs: number) => void;

  #socket: Socket | undefined;

  #hasFailed = false;

  #hasEnded = false;

  #idleSinceMs = 0;

  /** `onConnected` hears how long each connection took to be made. */
  constructor(host: string, port: number, onConnected: (tookMs: number) => void) {
    this.#onConnected = onConnected;
    const open = (_options: unknown, callback: ConnectCallback): void => {
      this.#open(host, port, callback);
    };
    this.#client = new Client(`http://${host}:${port}`, {
      connect: open as never,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    });
  }

  /** Whether a request may be sent on it without opening it anew. */
  get isUsable(): boolean {
    const socket = this.#socket;
    return socket !== undefined && !socket.destroyed && !this.#hasEnded && !this.#hasFailed;
  }

  /** The socket was reset, or failed otherwise. */
  get hasFailed(): boolean {
    return this.#hasFailed;
  }

  /** The upstream closed its side. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  get idleMs(): number {
    return performance.now() - this.#idleSinceMs;
  }

  markIdle(): void {
    this.#idleSinceMs = performance.now();
  }

  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#client.dispatch(options, handler);
  }

  destroy(): void {
    this.#socket?.destroy();
    this.#client.destroy().catch(() => {
      // Destroying twice is harmless; the client reports it as an error.
    });
  }

  #open(host: string, port: number, callback: ConnectCallback): void {
    const startedAtMs = performance.now();
    const socket = openSocket(host, port, CONNECT_TIMEOUT_MS, (error, opened) => {
      this.#socket = opened ?? undefined;
      if (opened !== null) {
        this.#onConnected(performance.now() - startedAtMs);
      }
      callback(error, opened);
    });
    // These listeners stand before the library's own: an answer without a length, or in chunks on a
    // connection that closes, is reported as complete when the socket is reset or ends early. Who
    // handles the end of the answer reads these flags to tell it from a whole one.
    socket.on('error', () => {
      this.#hasFailed = true;
    });
    socket.on('end', () => {
      this.#hasEnded = true;
    });
  }
}

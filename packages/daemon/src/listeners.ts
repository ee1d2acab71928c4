/** HTTP servers of the daemon, with TLS where the settings ask for it. */
import { createServer, type RequestListener, type Server } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import { answerClientErrors } from './callerApi/clientErrors.js';
import { readTlsFiles, type ListenerSettings } from './settings/index.js';

export interface ListenerBounds {
  readonly maxHeaderBytes: number;
  readonly requestTimeoutMs: number;
}

const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Handlers limit the time of bodies themselves, and answer better: Node's limit only backs them up. */
const BODY_SLACK_MS = 2_000;
/** Slow senders are found at the latest this long after their time is over. */
const MAX_CHECK_INTERVAL_MS = 1_000;

const createHttpServer = (
  name: string,
  settings: ListenerSettings,
  bounds: ListenerBounds,
  handler: RequestListener,
): Server => {
  const options = {
    maxHeaderSize: bounds.maxHeaderBytes,
    requestTimeout: BODY_SLACK_MS + 2 * bounds.requestTimeoutMs,
    headersTimeout: bounds.requestTimeoutMs,
    connectionsCheckingInterval: Math.min(MAX_CHECK_INTERVAL_MS, bounds.requestTimeoutMs),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  };
  if (settings.tls === undefined) {
    return createServer(options, handler);
  }
  return createTlsServer(
    { ...options, ...readTlsFiles(`listen.${name}.tls`, settings.tls) },
    handler,
  );
};

/** One listening server. */
export class Listener {
  readonly #server: Server;

  readonly #settings: ListenerSettings;

  /** `name` is the listener's field in the settings. */
  constructor(
    name: string,
    settings: ListenerSettings,
    bounds: ListenerBounds,
    handler: RequestListener,
  ) {
    this.#settings = settings;
    this.#server = createHttpServer(name, settings, bounds, handler);
    answerClientErrors(this.#server);
    // Pipelined requests listen to their socket at the same time.
    this.#server.on('connection', (socket) => socket.setMaxListeners(0));
    this.#server.on('secureConnection', (socket) => socket.setMaxListeners(0));
  }

  /** `ip:port` once it listens. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#settings.port, this.#settings.address, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** Takes no more connections; resolves when the open ones have ended, by force after a while. */
  close(graceMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#server.closeAllConnections(), graceMs);
      this.#server.close(() => {
        clearTimeout(timer);
        resolve();
      });
      this.#server.closeIdleConnections();
    });
  }
}

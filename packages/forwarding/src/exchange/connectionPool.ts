/** Connections to one upstream: each carries one request at a time, the youngest idle one first. */
import { isRefusedConnection } from '@snipehaven/common';
import { CONNECT_TIMEOUT_MS, MAX_CONNECTION_IDLE_MS, MAX_IDLE_CONNECTIONS } from '../constants.js';
import { openSocket } from './openSocket.js';
import type { ProbeOutcome } from './types.js';
import { UpstreamConnection } from './upstreamConnection.js';

export class ConnectionPool {
  readonly #host: string;

  readonly #port: number;

  #idle: UpstreamConnection[] = [];

  #isClosed = false;

  #shortestConnectMs: number | undefined;

  constructor(host: string, port: number) {
    this.#host = host;
    this.#port = port;
  }

  /**
   * A connection for one request. A non-idempotent request gets a new one: bytes of an earlier,
   * doubled answer may lie on a used one, and it may die as we write; either leaves it unknown
   * whether the request ran.
   */
  acquire(isFreshNeeded: boolean): UpstreamConnection {
    const idle = isFreshNeeded ? undefined : this.#popIdle();
    return (
      idle ??
      new UpstreamConnection(this.#host, this.#port, (tookMs) => this.#recordConnectTime(tookMs))
    );
  }

  /** Asks whether the upstream's process still listens, on a connection that carries nothing. */
  probe(): Promise<ProbeOutcome> {
    return new Promise((resolve) => {
      openSocket(this.#host, this.#port, CONNECT_TIMEOUT_MS, (error, socket) => {
        socket?.destroy();
        if (error === null) {
          resolve('listening');
          return;
        }
        resolve(isRefusedConnection(error) ? 'refused' : 'silent');
      });
    });
  }

  /** The round trip to the upstream, as the quickest of its connections shows it; absent before the first. */
  get roundTripMs(): number | undefined {
    return this.#shortestConnectMs;
  }

  /** Gives back a connection whose answer was whole and its own. */
  release(connection: UpstreamConnection): void {
    const isKept = !this.#isClosed && this.#idle.length < MAX_IDLE_CONNECTIONS;
    if (!isKept || !connection.isUsable) {
      connection.destroy();
      return;
    }
    connection.markIdle();
    this.#idle.push(connection);
    this.#closeExpired();
  }

  /** Closes idle connections; those in use end with their request. */
  close(): void {
    this.#isClosed = true;
    this.closeIdle();
  }

  /** Drops idle connections, after they were found silent or dead. */
  closeIdle(): void {
    this.#idle.forEach((connection) => connection.destroy());
    this.#idle = [];
  }

  #recordConnectTime(tookMs: number): void {
    this.#shortestConnectMs = Math.min(this.#shortestConnectMs ?? Infinity, tookMs);
  }

  #popIdle(): UpstreamConnection | undefined {
    this.#closeExpired();
    return this.#idle.pop();
  }

  #closeExpired(): void {
    const isReusable = (connection: UpstreamConnection): boolean =>
      connection.isUsable && connection.idleMs < MAX_CONNECTION_IDLE_MS;
    const reusable = this.#idle.filter(isReusable);
    if (reusable.length < this.#idle.length) {
      this.#idle.filter((connection) => !isReusable(connection)).forEach((one) => one.destroy());
      this.#idle = reusable;
    }
  }
}

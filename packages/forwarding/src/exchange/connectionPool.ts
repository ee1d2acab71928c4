/**
 * Connection pool of one upstream. Each connection carries one request at a time; the most recently
 * used idle one is taken first.
 */
import { MAX_CONNECTION_IDLE_MS, MAX_IDLE_CONNECTIONS } from '../constants.js';
import type { Connector } from './types.js';
import { ConnectionEnds, type ConnectionEnd } from './connectionEnds.js';
import { UpstreamConnection, type ConnectionObserver } from './upstreamConnection.js';

export class ConnectionPool implements ConnectionObserver {
  readonly #connector: Connector;

  #idle: UpstreamConnection[] = [];

  #isClosed = false;

  #shortestConnectMs: number | undefined;

  readonly ends = new ConnectionEnds();

  #lastAcceptedAtMs = -Infinity;

  readonly #open = new Set<UpstreamConnection>();

  readonly #onLost: (end: ConnectionEnd) => void;

  /** `onLost` is called for each connection that the upstream or the network ends. */
  constructor(connector: Connector, onLost: (end: ConnectionEnd) => void = () => {}) {
    this.#connector = connector;
    this.#onLost = onLost;
  }

  /**
   * Returns a connection for one request. A non-idempotent request gets a new one: a reused
   * connection may hold bytes of an earlier, duplicated response or close while the request is
   * written, and either leaves it unknown whether the request ran. No request gets one of the
   * connections in `used`.
   */
  acquire(isFreshNeeded: boolean, used: ReadonlySet<UpstreamConnection>): UpstreamConnection {
    const idle = isFreshNeeded ? undefined : this.#popIdle(used);
    return idle ?? new UpstreamConnection(this.#connector, this);
  }

  /**
   * Round trip to the upstream, estimated by its fastest connection set-up; undefined before the
   * first one.
   */
  get roundTripMs(): number | undefined {
    return this.#shortestConnectMs;
  }

  /** When the newest direct connection that the upstream accepted was begun. */
  get lastAcceptedAtMs(): number {
    return this.#lastAcceptedAtMs;
  }

  listOpen(): readonly UpstreamConnection[] {
    return [...this.#open];
  }

  isOpen(connection: UpstreamConnection): boolean {
    return this.#open.has(connection);
  }

  /** Returns a connection whose response was complete and belonged to its request. */
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

  /** Closes idle connections; those in use close with their request. */
  close(): void {
    this.#isClosed = true;
    this.#connector.close();
    this.closeIdle();
  }

  /** Closes idle connections, also after the upstream was found silent or dead. */
  closeIdle(): void {
    this.#idle.forEach((connection) => connection.destroy());
    this.#idle = [];
  }

  onOpened(connection: UpstreamConnection, startedAtMs: number): void {
    this.#open.add(connection);
    if (connection.path === 'direct') {
      const tookMs = performance.now() - startedAtMs;
      this.#lastAcceptedAtMs = Math.max(this.#lastAcceptedAtMs, startedAtMs);
      this.#shortestConnectMs = Math.min(this.#shortestConnectMs ?? Infinity, tookMs);
    }
  }

  onEnded(connection: UpstreamConnection, end: ConnectionEnd): void {
    this.#open.delete(connection);
    this.ends.record(end);
    this.#onLost(end);
  }

  onClosed(connection: UpstreamConnection): void {
    this.#open.delete(connection);
  }

  #popIdle(used: ReadonlySet<UpstreamConnection>): UpstreamConnection | undefined {
    this.#closeExpired();
    const index = this.#idle.findLastIndex((connection) => !used.has(connection));
    return index < 0 ? undefined : this.#idle.splice(index, 1)[0];
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

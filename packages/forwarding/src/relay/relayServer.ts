/**
 * Relays connections for other daemons: opens a direct connection to the upstream that they name and
 * passes bytes both ways. It serves listed daemons alone and connects to listed upstreams alone; it
 * never relays through a third daemon.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { isRefusedConnection, type Logger } from '@snipehaven/common';
import { listenOn } from '../edge/listenOn.js';
import { isReset, type DirectConnector } from '../exchange/index.js';
import type { SocketAddress } from '../types.js';
import {
  MAX_RELAY_HEADER_BYTES,
  MAX_RELAYED,
  MAX_RELAYED_PER_PEER,
  RELAY_HEADER_TIMEOUT_MS,
  RELAY_IDLE_MS,
} from './constants.js';
import { parseRelayPath, RELAY_METHOD, relayStatuses } from './relayProtocol.js';
import type { RelayOutcome } from './types.js';

/** An upstream to which connections are relayed. */
export interface RelayedUpstream {
  readonly direct: DirectConnector;
  /** Whether this daemon has lost its direct path to the upstream. */
  readonly isBlocked: boolean;
  /** Whether this daemon reaches other upstreams directly; undefined if there is none to try. */
  reachesOthers(): Promise<boolean | undefined>;
}

export interface RelayServerOptions {
  readonly logger: Logger;
  /** Whether the address is that of a listed daemon. */
  isPeer(host: string): boolean;
  /** Undefined unless the upstream is listed and takes requests. */
  findUpstream(lifeId: string): RelayedUpstream | undefined;
  onOutcome(outcome: RelayOutcome): void;
}

/** Between two lines about connections from addresses that are not listed. */
const STRANGER_LOG_INTERVAL_MS = 10_000;

const NOT_FOUND = 404;

export class RelayServer {
  readonly #options: RelayServerOptions;

  readonly #server: Server;

  /** Relayed connections by the address of the daemon that asked for them. */
  readonly #relayed = new Map<string, number>();

  #inFlight = 0;

  #isLeaving = false;

  #strangerLoggedAtMs = -Infinity;

  constructor(options: RelayServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        maxHeaderSize: MAX_RELAY_HEADER_BYTES,
        headersTimeout: RELAY_HEADER_TIMEOUT_MS,
        connectionsCheckingInterval: RELAY_HEADER_TIMEOUT_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => this.#handle(request, response),
    );
    this.#server.on('connection', (socket) => this.#admit(socket));
  }

  /** Number of connections that are relayed at present. */
  get inFlight(): number {
    return this.#inFlight;
  }

  listen(address: SocketAddress): Promise<void> {
    return listenOn(this.#server, address);
  }

  /** Relays no further connections; present ones go on. */
  leave(): void {
    this.#isLeaving = true;
  }

  destroy(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #admit(socket: Socket): void {
    const host = socket.remoteAddress ?? '';
    if (this.#options.isPeer(host)) {
      return;
    }
    socket.destroy();
    const nowMs = performance.now();
    if (nowMs - this.#strangerLoggedAtMs >= STRANGER_LOG_INTERVAL_MS) {
      this.#strangerLoggedAtMs = nowMs;
      this.#options.logger.warn(
        { event: 'relayRefused', host },
        'closed a connection to the port of daemons from an address that is no listed daemon',
      );
    }
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const lifeId = parseRelayPath(request.url ?? '');
    const upstream = lifeId === undefined ? undefined : this.#options.findUpstream(lifeId);
    const host = request.socket.remoteAddress ?? '';
    request.on('error', () => response.destroy());
    if (request.method !== RELAY_METHOD || upstream === undefined) {
      this.#end(response, NOT_FOUND);
    } else if (this.#isLeaving || upstream.isBlocked || !this.#hasRoom(host)) {
      this.#refuse(response, 'unavailable');
    } else {
      this.#connect(upstream, request, response);
    }
  }

  #hasRoom(host: string): boolean {
    return this.#inFlight < MAX_RELAYED && (this.#relayed.get(host) ?? 0) < MAX_RELAYED_PER_PEER;
  }

  #connect(upstream: RelayedUpstream, request: IncomingMessage, response: ServerResponse): void {
    this.#count(request.socket.remoteAddress ?? '', response);
    const giveUp = upstream.direct.open((error, opened) => {
      if (opened === null) {
        void this.#refuseUnreached(upstream, error, response);
      } else {
        this.#relay(opened.stream, request, response);
      }
    });
    response.once('close', giveUp);
  }

  #count(host: string, response: ServerResponse): void {
    this.#inFlight += 1;
    this.#relayed.set(host, (this.#relayed.get(host) ?? 0) + 1);
    response.once('close', () => {
      this.#inFlight -= 1;
      const left = (this.#relayed.get(host) ?? 1) - 1;
      if (left > 0) {
        this.#relayed.set(host, left);
      } else {
        this.#relayed.delete(host);
      }
    });
  }

  /** Says that the upstream is unreachable only if this daemon's own paths work. */
  async #refuseUnreached(
    upstream: RelayedUpstream,
    error: Error | null,
    response: ServerResponse,
  ): Promise<void> {
    const isOwnPathSound = (await upstream.reachesOthers()) !== false;
    const outcome = error !== null && isRefusedConnection(error) ? 'refused' : 'silent';
    this.#refuse(response, isOwnPathSound ? outcome : 'unavailable');
  }

  #relay(stream: Duplex, request: IncomingMessage, response: ServerResponse): void {
    this.#options.onOutcome('connected');
    (stream as Socket).setTimeout(RELAY_IDLE_MS, () => stream.destroy());
    response.writeHead(relayStatuses.connected, { Connection: 'close' });
    response.flushHeaders();
    const breakOff = (): void => {
      response.destroy();
    };
    stream.once('end', () => {
      if (isReset(stream)) {
        breakOff();
      }
    });
    request.pipe(stream);
    stream.pipe(response);
    stream.on('error', breakOff);
    stream.on('close', () => {
      if (!stream.readableEnded) {
        breakOff();
      }
    });
    response.on('close', () => stream.destroy());
  }

  #refuse(response: ServerResponse, outcome: Exclude<RelayOutcome, 'connected'>): void {
    this.#options.onOutcome(outcome);
    this.#end(response, relayStatuses[outcome]);
  }

  #end(response: ServerResponse, status: number): void {
    response.writeHead(status, { Connection: 'close', 'Content-Length': 0 });
    response.end();
  }
}

/**
 * Connects the relaying of connections with the list of upstreams, the other daemons and the
 * metrics.
 */
import type { Logger, Random } from '@snipehaven/common';
import type { ForwardMetrics } from '../edge/index.js';
import {
  DirectConnector,
  type ConnectOutcome,
  type Connector,
  type OpenSocket,
} from '../exchange/index.js';
import type { PeerDirectory } from '../peers/index.js';
import {
  askRelay,
  PathMonitor,
  RelayClient,
  RelayRanking,
  RelayServer,
  RELAY_CONNECT_TIMEOUT_MS,
  type RelayedUpstream,
  type RelayOutcome,
} from '../relay/index.js';
import type { SocketAddress, Upstream } from '../types.js';
import { getLifeId, type UpstreamEntry } from '../upstreams/index.js';

export interface RelayCoordinatorOptions {
  readonly peers: PeerDirectory;
  readonly logger: Logger;
  readonly random: Random;
  readonly metrics: ForwardMetrics;
  /** Opens connections to upstreams; TCP unless replaced. */
  readonly openSocket: OpenSocket | undefined;
  findEntry(lifeId: string): UpstreamEntry | undefined;
}

const connectOutcomes: Readonly<Record<RelayOutcome, ConnectOutcome>> = {
  connected: 'connected',
  refused: 'refused',
  silent: 'timedOut',
  unavailable: 'failed',
};

export class RelayCoordinator {
  readonly #options: RelayCoordinatorOptions;

  readonly #monitor: PathMonitor;

  readonly #server: RelayServer;

  constructor(options: RelayCoordinatorOptions) {
    this.#options = options;
    const { peers, logger, random, metrics } = options;
    const relays = new RelayClient({
      directory: peers,
      ranking: new RelayRanking(peers, random),
      ask: askRelay,
      onOutcome: (outcome) => metrics.countConnection('relayed', connectOutcomes[outcome]),
    });
    this.#monitor = new PathMonitor({ relays, logger, random });
    this.#server = new RelayServer({
      logger,
      isPeer: (host) => peers.hasHost(host),
      findUpstream: (lifeId) => this.#findUpstream(lifeId),
      onOutcome: (outcome) => metrics.countRelayedForPeer(outcome),
    });
    metrics.addGauge(
      'snipehaven_upstreams_unreachable',
      'Upstreams that are not reached directly, so that connections to them are relayed.',
      () => this.#monitor.blockedCount,
    );
    metrics.addGauge(
      'snipehaven_relayed_for_peers',
      'Connections that are relayed for other daemons at present.',
      () => this.inFlight,
    );
  }

  /** Connections that are relayed for other daemons at present. */
  get inFlight(): number {
    return this.#server.inFlight;
  }

  createConnector(upstream: Upstream): Connector {
    const { service, dataCentre } = upstream;
    const target = { lifeId: getLifeId(upstream), service, dataCentre };
    return this.#monitor.createPath(target, this.#createDirect(upstream));
  }

  listen(address: SocketAddress): Promise<void> {
    return this.#server.listen(address);
  }

  leave(): void {
    this.#server.leave();
  }

  stop(): void {
    this.#monitor.stop();
    this.#server.destroy();
  }

  #createDirect({ host, port }: Upstream, timeoutMs?: number): DirectConnector {
    const { openSocket, metrics } = this.#options;
    return new DirectConnector({
      host,
      port,
      onOutcome: (outcome) => metrics.countConnection('direct', outcome),
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
      ...(openSocket === undefined ? {} : { open: openSocket }),
    });
  }

  /** The asking daemon decides what else keeps requests from an upstream, as for its own connections. */
  #findUpstream(lifeId: string): RelayedUpstream | undefined {
    const entry = this.#options.findEntry(lifeId);
    const path = this.#monitor.find(lifeId);
    if (entry?.upstream.state !== 'ready' || path === undefined) {
      return undefined;
    }
    return {
      direct: this.#createDirect(entry.upstream, RELAY_CONNECT_TIMEOUT_MS),
      isBlocked: path.isBlocked,
      reachesOthers: () => this.#monitor.reachesOthers(path),
    };
  }
}

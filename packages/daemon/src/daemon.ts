/** A daemon with its listeners and its clients of the outside. */
import type { RequestListener } from 'node:http';
import {
  asId,
  createRandom,
  getEntropySeed,
  sleep,
  type IncarnationId,
  type Logger,
} from '@snipehaven/common';
import {
  HttpObjectStoreClient,
  HttpRaterClient,
  HttpTableClient,
  HttpVmListClient,
} from '@snipehaven/platform';
import { createPeerRequestHandler, HttpPeerTransport } from '@snipehaven/protocol';
import { HttpEngineClient, HttpServiceClient, UpstreamPools } from '@snipehaven/upstream';
import { createCallerHandler } from './callerApi/callerHandler.js';
import { TimelineCollector } from './collectTimeline.js';
import { DaemonCore, type DaemonCoreOptions, type ShutdownReport } from './daemonCore.js';
import { Listener } from './listeners.js';
import { listProcessGauges } from './metrics/processGauges.js';
import { TrafficMeter, type TrafficKind } from './metrics/trafficMeter.js';
import { createOperatorHandler, type HealthReport } from './operatorApi/index.js';
import { readPeerTlsFiles, readSecret, type Settings } from './settings/index.js';
import { SharedVmList, VM_LIST_DUTY } from './sharedVmList.js';

/** Addresses that the daemon listens on, as `ip:port`. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

const LISTENER_CLOSE_MS = 1_000;
const INCARNATION_RADIX = 36;
const INCARNATION_RANDOM_LIMIT = 36 ** 4;

type HandlerSlot = 'callers' | 'operators' | 'peers';

export class Daemon {
  readonly #settings: Settings;

  readonly #logger: Logger;

  readonly #environment: NodeJS.ProcessEnv;

  readonly #listeners: Readonly<Record<HandlerSlot, Listener>>;

  readonly #handlers = new Map<HandlerSlot, RequestListener>();

  readonly #pools = new UpstreamPools();

  readonly #stopping = new AbortController();

  readonly #traffic = new TrafficMeter({
    classifyConnected: (host) => this.#classifyConnected(host),
    classifyAccepted: (localPort) => this.#classifyAccepted(localPort),
  });

  readonly #vmList: SharedVmList;

  #core: DaemonCore | undefined;

  #transport: HttpPeerTransport | undefined;

  constructor(settings: Settings, logger: Logger, environment: NodeJS.ProcessEnv) {
    this.#settings = settings;
    this.#logger = logger;
    this.#environment = environment;
    this.#vmList = this.#createVmList();
    this.#listeners = {
      callers: this.#createListener('callers'),
      operators: this.#createListener('operators'),
      peers: this.#createListener('peers'),
    };
  }

  /** Undefined before the start. */
  get core(): DaemonCore | undefined {
    return this.#core;
  }

  get addresses(): DaemonAddresses {
    const { callers, operators, peers } = this.#listeners;
    return { callers: callers.address, operators: operators.address, peers: peers.address };
  }

  /** Listens and joins; resolves with the addresses. */
  async start(): Promise<DaemonAddresses> {
    this.#traffic.start();
    await Promise.all(Object.values(this.#listeners).map((listener) => listener.listen()));
    const core = new DaemonCore(this.#createCoreOptions());
    this.#core = core;
    core.membership.registerTopic(this.#vmList);
    listProcessGauges(this.#traffic).forEach((gauge) => core.metrics.addGauge(gauge));
    this.#installHandlers(core);
    core.start();
    return this.addresses;
  }

  /** Graceful shutdown: not ready, wait for the balancer, finish, hand over, leave. */
  async stop(): Promise<ShutdownReport> {
    const { balancerDelayMs, deadlineMs } = this.#settings.shutdown;
    this.#stopping.abort();
    await sleep(balancerDelayMs);
    const report = await this.#core?.stop(deadlineMs);
    await Promise.all(
      Object.values(this.#listeners).map((listener) => listener.close(LISTENER_CLOSE_MS)),
    );
    await this.#transport?.close();
    await this.#pools.destroy();
    this.#traffic.stop();
    return report ?? { unfinishedRequests: 0, unflushedRecords: 0, unwrittenAnswers: 0 };
  }

  #createListener(slot: HandlerSlot): Listener {
    const { requests, listen } = this.#settings;
    const bounds = {
      maxHeaderBytes: requests.maxHeaderBytes,
      requestTimeoutMs: requests.bodyTimeoutMs,
    };
    return new Listener(slot, listen[slot], bounds, (request, response) => {
      const handler = this.#handlers.get(slot);
      if (handler === undefined) {
        response.writeHead(503).end();
        return;
      }
      handler(request, response);
    });
  }

  #createVmList(): SharedVmList {
    const { platform, vm } = this.#settings;
    return new SharedVmList({
      source: new HttpVmListClient(platform.vmListUrl, platform.callTimeoutMs),
      localDataCentre: vm.dataCentre,
      ownsDuty: () => this.#core?.membership.ownsDuty(VM_LIST_DUTY) ?? true,
      spread: () => {
        this.#core?.membership.spread().catch(() => undefined);
      },
    });
  }

  #createCoreOptions(): DaemonCoreOptions {
    const { platform, vm, peers, requests, upstreams } = this.#settings;
    const { callTimeoutMs } = platform;
    this.#transport = this.#createTransport();
    const random = createRandom(getEntropySeed());
    const suffix = random.nextInt(INCARNATION_RANDOM_LIMIT).toString(INCARNATION_RADIX);
    const boot = Date.now().toString(INCARNATION_RADIX);
    return {
      identity: {
        vm: vm.name,
        dataCentre: vm.dataCentre,
        peerAddress: this.#listeners.peers.address,
        incarnation: asId<IncarnationId>(`${vm.name}-${boot}-${suffix}`),
      },
      settings: {
        seeds: peers.seeds,
        probeIntervalMs: peers.probeIntervalMs,
        routing: requests,
        upstreams,
        maxQueued: requests.maxQueued,
        session: this.#readSessionKeys(),
      },
      table: new HttpTableClient(platform.tableUrl, callTimeoutMs),
      objectStore: new HttpObjectStoreClient(platform.objectStoreUrl, callTimeoutMs),
      vmList: this.#vmList,
      rater: new HttpRaterClient(platform.raterUrl, callTimeoutMs),
      engines: new HttpEngineClient(this.#pools),
      services: new HttpServiceClient(this.#pools),
      transport: this.#transport,
      logger: this.#logger,
      random,
    };
  }

  #createTransport(): HttpPeerTransport {
    const { tls, callTimeoutMs } = this.#settings.peers;
    const [secret] = this.#readPeerSecrets();
    const files = tls && readPeerTlsFiles('peers.tls', tls);
    return new HttpPeerTransport(secret, callTimeoutMs, files);
  }

  #readPeerSecrets(): readonly [string, ...string[]] {
    const { secret, previousSecret } = this.#settings.peers;
    const current = readSecret('peers.secret', secret, this.#environment);
    return previousSecret === undefined
      ? [current]
      : [current, readSecret('peers.previousSecret', previousSecret, this.#environment)];
  }

  #readSessionKeys(): DaemonCoreOptions['settings']['session'] {
    const { key, keyId, previousKey, previousKeyId } = this.#settings.sessions;
    const secret = readSecret('sessions.key', key, this.#environment);
    const currentKey = { id: keyId, secret };
    if (previousKey === undefined) {
      return { currentKey };
    }
    const previousSecret = readSecret('sessions.previousKey', previousKey, this.#environment);
    return { currentKey, previousKey: { id: previousKeyId, secret: previousSecret } };
  }

  #installHandlers(core: DaemonCore): void {
    const { requests } = this.#settings;
    const handleCaller = createCallerHandler({
      router: core.router,
      configuration: core.configuration,
      safeMoves: core.configuration.safeMoves,
      isServing: () => core.isServing,
      bounds: requests,
      logger: this.#logger,
    });
    const handlePeer = createPeerRequestHandler(core.peerHandlers, this.#readPeerSecrets());
    this.#handlers.set('callers', handleCaller);
    this.#handlers.set('peers', handlePeer);
    this.#handlers.set('operators', this.#createOperatorListener(core));
  }

  #createOperatorListener(core: DaemonCore): RequestListener {
    const collector = new TimelineCollector({
      membership: core.membership,
      transport: this.#transport as HttpPeerTransport,
      timeline: core.timeline,
      ledger: core.ledgerReader,
    });
    const handle = createOperatorHandler({
      configuration: core.configuration,
      safeMoves: core.configuration.safeMoves,
      membership: core.membership,
      ledger: core.ledgerReader,
      tokens: this.#settings.operators.tokens,
      logger: this.#logger,
      stopSignal: this.#stopping.signal,
      collectTimeline: (query) => collector.collect(query),
      getRequest: (requestId) => collector.getRequest(requestId),
      collectLatency: () => Promise.resolve(core.metrics.listLatency()),
      listRolloutStatus: () => Promise.resolve(core.rollouts.listStatus()),
      getMetricsText: () => core.metrics.getText(),
      getHealth: () => ({ isOk: true, reasons: [] }),
      getReadiness: () => this.#getReadiness(core),
      drain: (vm) => this.#drain(vm),
    });
    return (request, response) => {
      handle(request, response).then(
        (isHandled) => {
          if (!isHandled) {
            response.writeHead(404).end();
          }
        },
        () => response.destroy(),
      );
    };
  }

  #classifyConnected(host: string): TrafficKind {
    const { tableUrl, objectStoreUrl, vmListUrl, raterUrl, weightStoreUrl } =
      this.#settings.platform;
    const platformUrls = [tableUrl, objectStoreUrl, vmListUrl, raterUrl, weightStoreUrl];
    if (platformUrls.some((url) => new URL(url).host === host)) {
      return 'platform';
    }
    const upstreams = this.#core?.registry.list() ?? [];
    const isUpstream = upstreams.some((entry) => new URL(entry.spec.url).host === host);
    return isUpstream ? 'upstreams' : 'peers';
  }

  #classifyAccepted(localPort: number): TrafficKind | undefined {
    const isPeers = this.#listeners.peers.address.endsWith(`:${localPort}`);
    return isPeers ? 'peers' : undefined;
  }

  #getReadiness(core: DaemonCore): HealthReport {
    const reasons = [
      ...(this.#stopping.signal.aborted ? ['shutting down'] : []),
      ...core.listUnreadyReasons(),
    ];
    return { isOk: reasons.length === 0, reasons };
  }

  async #drain(vm: string): Promise<void> {
    if (vm === this.#settings.vm.name) {
      process.kill(process.pid, 'SIGTERM');
    }
  }
}

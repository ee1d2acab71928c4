/** A daemon of the forward path. All daemons are alike and keep no state beyond the process. */
import { getHeapStatistics } from 'node:v8';
import {
  createRandom,
  getEntropySeed,
  sleep,
  StallMonitor,
  type Logger,
  type Random,
} from '@snipehaven/common';
import { ModelDemand, RepeatBudget, WorkPace } from '@snipehaven/policy';
import { AbsenceCheck } from '../configuration/absenceCheck.js';
import { ConfigurationHolder } from '../configuration/configurationHolder.js';
import { Freshness } from '../configuration/freshness.js';
import { StoreClock } from '../configuration/storeClock.js';
import {
  findCallerLimits,
  ForwardMetrics,
  FrontServer,
  LimitReporter,
  StatusServer,
  type CallerListener,
  type CountLimited,
} from '../edge/index.js';
import type { OpenSocket } from '../exchange/index.js';
import { RolloutTracker, RolloutKeeper } from '../rollouts/index.js';
import { AnswerMemory, EventMemory } from '../runs/index.js';
import { StoreEra, type RowStore, type TableWatcher } from '../store/index.js';
import {
  BackOffTracker,
  LeavingTracker,
  RateLimitTracker,
  UpstreamDirectory,
  UpstreamGate,
} from '../upstreams/index.js';
import {
  ReaderRegistry,
  PeerDirectory,
  PeerExchange,
  PeerLoads,
  createUdpPort,
  type SharedStatistics,
  type Peer,
  type UpstreamLoad,
} from '../peers/index.js';
import { addGauges } from './addGauges.js';
import { announcePeer } from './announcePeer.js';
import { createWatchers } from './createWatchers.js';
import { CrashCoordinator } from './crashCoordinator.js';
import { MeteredStore, type StoreMeter } from './meteredStore.js';
import { PerService } from './perService.js';
import { PlaceCoordinator } from './placeCoordinator.js';
import { RelayCoordinator } from './relayCoordinator.js';
import { StoreRolloutWriter } from './storeRolloutWriter.js';
import { StatusListener } from './tableListeners.js';
import type { ForwardSettings, PlatformAdapter } from './types.js';

/**
 * Subtracted from the revoke deadline: clocks drift, and a request is in transit for some ms before
 * it is read.
 */
const REVOKE_MARGIN_MS = 200;

/**
 * Part of the drain time-out for which an upstream that says it is leaving is used when its service
 * has no other; the rest is for requests that wait or are repeated.
 */
const LAST_RESORT_SHARE = 0.5;

/** The balancer probes once a second and removes a VM after two failed probes. */
const BALANCER_NOTICE_MS = 2_200;

/**
 * A balancer without a better choice still sends requests to a leaving VM. Requests that arrive
 * later than this have too little of the grace period left for a long stream.
 */
const LATE_REQUEST_MS = 600;

/** Left of the grace period for ending the requests that still run. */
const GRACE_MARGIN_MS = 500;
const DRAIN_CHECK_MS = 100;

/** The settings file may change without a signal. */
const SETTINGS_CHECK_MS = 2_000;

export interface ForwardDaemonOptions {
  /** Already listens for callers in this process. */
  readonly listener?: CallerListener | undefined;
  /** Opens connections to upstreams; TCP unless replaced. */
  readonly openSocket?: OpenSocket;
}

export class ForwardDaemon {
  readonly #adapter: PlatformAdapter;

  readonly #logger: Logger;

  readonly #random: Random = createRandom(getEntropySeed());

  /** Distinguishes this process from earlier ones of the VM. */
  readonly #processId = getEntropySeed();

  readonly #configuration: ConfigurationHolder;

  readonly #peerDirectory: PeerDirectory;

  /** Connections to upstreams through other daemons, and for them. */
  readonly #relays: RelayCoordinator;

  readonly #directory: UpstreamDirectory;

  readonly #rollouts: RolloutTracker;

  readonly #crashes: CrashCoordinator;

  readonly #storeClock = new StoreClock();

  readonly #storeEra = new StoreEra();

  readonly #statusFreshness = new Freshness(this.#storeClock);

  readonly #rateLimits: RateLimitTracker;

  readonly #leavings: LeavingTracker;

  /** Places at upstreams that fall over when they turn many requests away. */
  readonly #places: PlaceCoordinator;

  readonly #statusListener: StatusListener;

  readonly #peerLoads = new PeerLoads();

  readonly #readerRegistry: ReaderRegistry;

  readonly #exchange: PeerExchange;

  readonly #metrics = new ForwardMetrics();

  readonly #eventMemory = new EventMemory();

  readonly #stalls = new StallMonitor((stall) => {
    this.#metrics.countStall(stall);
    this.#logger.warn({ event: 'stalled', ...stall }, 'the event loop stood still');
  });

  readonly #budgets = new PerService(() => new RepeatBudget(this.#settings.repeatBudget));

  readonly #paces = new PerService(
    (service) => new WorkPace(() => this.#peerLoads.findPace(service)),
  );

  readonly #demands = new PerService(
    (service) => new ModelDemand(() => this.#peerLoads.listDemands(service)),
  );

  readonly #front: FrontServer;

  readonly #readiness: StatusServer;

  readonly #metricsServer: StatusServer;

  readonly #watchers: readonly TableWatcher[];

  /** For the row with this daemon's own address. */
  readonly #addressStore: RowStore;

  /** Pending while that row is to be written. */
  #announcement: Promise<void> | undefined;

  readonly #stores: RowStore[] = [];

  readonly #stopping = new AbortController();

  #settings: ForwardSettings;

  /** Resolves when the daemon has left; undefined until it begins to leave. */
  #leaving: Promise<void> | undefined;

  readonly #options: ForwardDaemonOptions;

  constructor(adapter: PlatformAdapter, logger: Logger, options: ForwardDaemonOptions = {}) {
    this.#options = options;
    this.#adapter = adapter;
    this.#logger = logger;
    this.#settings = adapter.settings;
    this.#storeEra.onRise((era, before, source) =>
      logger.warn(
        { event: 'storeEra', era, before, source },
        before === undefined
          ? 'era of the store known for the first time'
          : 'the store has come back from a copy',
      ),
    );
    this.#configuration = new ConfigurationHolder(logger, this.#storeClock);
    this.#peerDirectory = new PeerDirectory(this.#getSelf(), this.#random);
    this.#relays = new RelayCoordinator({
      peers: this.#peerDirectory,
      logger,
      random: this.#random,
      metrics: this.#metrics,
      openSocket: options.openSocket,
      findEntry: (lifeId) => this.#directory.findIncarnation(lifeId),
    });
    this.#directory = new UpstreamDirectory(
      logger,
      this.#peerLoads,
      (service) => this.#configuration.table?.findService(service)?.warmUp?.durationMs ?? 0,
      adapter.settings.drainTimeoutMs * LAST_RESORT_SHARE,
      (upstream) => this.#relays.createConnector(upstream),
    );
    this.#rateLimits = new RateLimitTracker({
      logger,
      directory: this.#directory,
      broadcast: (news) => this.#exchange.broadcastRateLimits(news),
      ask: (news) => this.#exchange.askAboutRateLimits(news),
    });
    this.#leavings = new LeavingTracker({
      logger,
      directory: this.#directory,
      broadcast: (news) => this.#exchange.broadcastLeavings(news),
    });
    this.#places = new PlaceCoordinator({
      logger,
      metrics: this.#metrics,
      directory: this.#directory,
      peers: this.#peerDirectory,
      processId: this.#processId,
      getExchange: () => this.#exchange,
    });
    const { vmName, sessionTtlMs, allowedExposure, exposureSlack } = adapter.settings;
    this.#readerRegistry = new ReaderRegistry(vmName, adapter.settings.dataCentre, this.#storeEra);
    this.#rollouts = new RolloutTracker({
      logger,
      vm: vmName,
      freshness: this.#statusFreshness,
      clock: this.#storeClock,
      sessionTtlMs,
      allowedExposure,
      exposureSlack,
      countSessionMove: (stage) => this.#metrics.countSessionMove(stage),
      storeEra: this.#storeEra,
      findPeerCounts: (service, orderRevision) =>
        this.#peerLoads.findRolloutCounts(service, orderRevision),
      countUpstreams: (service, version) => this.#directory.countUpstreams(service, version),
      hasEvacuatedUpstreams: (service, version) =>
        this.#directory.hasEvacuatedUpstreams(service, version),
    });
    this.#crashes = this.#createCrashCoordinator();
    this.#statusListener = new StatusListener({
      adapter,
      rollouts: this.#rollouts,
      holds: this.#crashes.holdPersister,
      logger,
      clock: this.#storeClock,
      onPeer: (peer) => this.#exchange.addPeer(peer),
    });
    this.#exchange = this.#createExchange();
    this.#readiness = new StatusServer(
      () => this.#renderReadiness(),
      this.#createReporter('readiness'),
    );
    this.#metricsServer = new StatusServer(
      async () => ({
        status: 200,
        contentType: 'text/plain; version=0.0.4',
        body: await this.#metrics.render(),
      }),
      this.#createReporter('metrics'),
    );
    const { processLimits } = adapter.settings;
    const limits = findCallerLimits(processLimits, getHeapStatistics().heap_size_limit);
    this.#front = new FrontServer(this.#createReporter('callers'), limits, {
      configuration: this.#configuration,
      directory: this.#directory,
      upstreamGate: new UpstreamGate(this.#exchange, this.#places.borrower),
      rateLimits: this.#rateLimits,
      leavings: this.#leavings,
      backOffs: new BackOffTracker(logger),
      brittle: this.#places.brittle,
      places: this.#places.borrower,
      dialect: adapter.dialect,
      rollouts: this.#rollouts,
      crashes: this.#crashes.tracker,
      metrics: this.#metrics,
      logger,
      stalls: this.#stalls,
      eventMemory: this.#eventMemory,
      answerMemory: new AnswerMemory(limits.maxHeldAnswerBytes),
      random: this.#random,
      localDataCentre: adapter.settings.dataCentre,
      getRepeatBudget: (service) => this.#budgets.get(service),
      getWorkPace: (service) => this.#paces.get(service),
      getModelDemand: (service) => this.#demands.get(service),
      notePlaced: (work) => this.#exchange.notePlacedWork(work),
      absenceCheck: new AbsenceCheck(
        this.#configuration.freshness,
        adapter.settings.configurationDeadlineMs,
      ),
      maxKeyAgeMs: adapter.settings.revokeDeadlineMs - REVOKE_MARGIN_MS,
    });
    this.#watchers = this.#createWatchers();
    this.#addressStore = this.#createStore('address');
    this.#createKeeper().start();
    addGauges(this.#metrics, {
      exchange: this.#exchange,
      directory: this.#directory,
      front: this.#front,
      configuration: this.#configuration,
      storeEra: this.#storeEra,
      eventMemory: this.#eventMemory,
      watchers: this.#watchers,
    });
  }

  async start(): Promise<void> {
    this.#stalls.start();
    const { callerAddress, readinessAddress, metricsAddress } = this.#settings;
    await this.#front.listen(callerAddress, this.#options.listener);
    await this.#readiness.listen(readinessAddress);
    await this.#metricsServer.listen(metricsAddress);
    await this.#exchange.start();
    await this.#relays.listen(this.#settings.peerAddress);
    this.#watchers.forEach((watcher) => {
      void watcher.run();
    });
    this.#announce();
    this.#storeEra.onRise((_era, before) => {
      // The copy may lack this daemon's row.
      if (before !== undefined) {
        this.#announce();
      }
    });
    setInterval(() => this.reload('check'), SETTINGS_CHECK_MS).unref();
    this.#logger.info({ event: 'started', settings: this.#settings }, 'started');
  }

  /**
   * Reads the settings again. If the file is invalid, the present settings stay in force. Requests
   * in flight are not affected.
   */
  reload(cause: string): void {
    try {
      const settings = this.#adapter.rereadSettings();
      if (JSON.stringify(settings) !== JSON.stringify(this.#settings)) {
        this.#settings = settings;
        this.#logger.info({ event: 'reloaded', cause, settings }, 'settings reloaded');
      }
    } catch (error) {
      this.#logger.error(
        { event: 'reloadFailed', cause, error },
        'invalid settings; keeping the present ones',
      );
    }
  }

  /**
   * Leaves without losing requests. The daemon becomes not ready at once but serves requests while
   * the balancer still sends them; then connections are closed with their answers. Resolves when no
   * request is running, or shortly before the process would be killed. A second signal waits for
   * the same end; when it was taken as completed, it cut off all running requests.
   */
  leave(): Promise<void> {
    this.#leaving ??= this.#drain();
    return this.#leaving;
  }

  async #drain(): Promise<void> {
    const endAtMs = performance.now() + this.#settings.graceMs - GRACE_MARGIN_MS;
    this.#logger.info({ event: 'leaving', inFlight: this.#front.inFlight }, 'leaving');
    this.#relays.leave();
    await sleep(BALANCER_NOTICE_MS);
    this.#front.leave();
    setTimeout(() => this.#front.stopTaking(), LATE_REQUEST_MS).unref();
    do {
      this.#front.closeIdle();
      await sleep(DRAIN_CHECK_MS);
    } while (this.#isBusy && performance.now() < endAtMs);
    // The process exits a few ms later; a request accepted in between would be lost.
    this.#front.stopTaking();
    this.#front.abortUnframed();
    this.#logger.info({ event: 'stopped', inFlight: this.#front.inFlight }, 'stopped');
  }

  get #isBusy(): boolean {
    return this.#front.inFlight > 0 || this.#relays.inFlight > 0;
  }

  /** Stops at once and aborts running requests. */
  stop(): void {
    this.#stopping.abort();
    this.#stalls.stop();
    this.#watchers.forEach((watcher) => watcher.stop());
    this.#crashes.holdPersister.stop();
    this.#stores.forEach((store) => store.close());
    this.#front.destroy();
    this.#relays.stop();
    this.#readiness.close();
    this.#metricsServer.close();
    this.#places.stop();
    this.#exchange.stop();
  }

  /** Number of requests that callers wait for. */
  get inFlight(): number {
    return this.#front.inFlight;
  }

  #createStore(purpose: string): RowStore {
    const client = this.#adapter.createStore((era) => this.#storeEra.observe(era, purpose));
    const meter: StoreMeter = {
      countStoreCall: (...call) => {
        this.#stalls.note('storeAnswer', purpose);
        this.#metrics.countStoreCall(...call);
      },
    };
    const store = new MeteredStore(client, meter, this.#logger, purpose, this.#storeEra);
    this.#stores.push(store);
    return store;
  }

  #createReporter(port: string): LimitReporter {
    const count: CountLimited = (limit) => this.#metrics.countLimited(limit, port);
    return new LimitReporter(this.#logger, count, port);
  }

  #renderReadiness() {
    const isReady = this.#leaving === undefined && this.#front.isInformed;
    return {
      status: isReady ? 200 : 503,
      contentType: 'text/plain',
      body: isReady ? 'ready\n' : 'not ready\n',
    };
  }

  #announce(): void {
    const { status } = this.#adapter.tables;
    this.#announcement ??= announcePeer({
      adapter: this.#adapter,
      store: this.#addressStore,
      self: this.#getSelf(),
      logger: this.#logger,
      signal: this.#stopping.signal,
      isReading: () => this.#readerRegistry.ownReports.length > 0,
      findStored: (key) => {
        const snapshot = this.#watchers.find(({ table }) => table === status)?.snapshot;
        return snapshot?.rows.find((row) => row.key === key)?.value;
      },
    }).finally(() => {
      this.#announcement = undefined;
    });
  }

  #createWatchers(): readonly TableWatcher[] {
    return createWatchers({
      adapter: this.#adapter,
      logger: this.#logger,
      random: this.#random,
      readerRegistry: this.#readerRegistry,
      exchange: this.#exchange,
      configuration: this.#configuration,
      directory: this.#directory,
      rollouts: this.#rollouts,
      storeClock: this.#storeClock,
      storeEra: this.#storeEra,
      statusListener: this.#statusListener,
      statusFreshness: this.#statusFreshness,
      createStore: (purpose) => this.#createStore(purpose),
    });
  }

  #getSelf(): Peer {
    const { vmName, dataCentre, peerAddress } = this.#settings;
    return { vm: vmName, dataCentre, ...peerAddress };
  }

  #createExchange(): PeerExchange {
    return new PeerExchange({
      directory: this.#peerDirectory,
      port: createUdpPort(this.#peerDirectory.self, this.#logger, (host) =>
        this.#stalls.note('datagram', host),
      ),
      clock: this.#storeClock,
      storeEra: this.#storeEra,
      seeds: this.#settings.seedAddresses,
      listSnapshots: () => this.#watchers.flatMap(({ snapshot }) => snapshot ?? []),
      loads: this.#peerLoads,
      readerRegistry: this.#readerRegistry,
      logger: this.#logger,
      random: this.#random,
      processId: this.#processId,
      readOwnLoads: () => this.#readOwnLoads(),
      readOwnStatistics: () => this.#readOwnStatistics(),
      onCrashMessage: (report) => this.#crashes.tracker.receiveReport(report),
      onBadVersion: (report) => this.#rollouts.receiveBadVersion(report),
      onRateLimits: (news) => this.#rateLimits.receive(news),
      onLeavings: (news) => this.#leavings.receive(news),
      onBrittle: (news) => this.#places.brittle.receive(news),
      onPlaceMessage: (message) => this.#places.receive(message),
      meter: this.#metrics,
    });
  }

  #readOwnLoads(): ReadonlyMap<string, UpstreamLoad> {
    const loads = new Map<string, UpstreamLoad>();
    for (const entry of this.#directory.entries) {
      if (entry.ownLoad.requests > 0) {
        loads.set(entry.lifeId, entry.ownLoad);
      }
    }
    return loads;
  }

  #readOwnStatistics(): SharedStatistics {
    const paces = this.#paces.entries.map(([service, pace]) => ({ service, ...pace.own }));
    const demands = this.#demands.entries.flatMap(([service, demand]) =>
      demand.own.map((one) => ({ service, ...one })),
    );
    return { paces, demands, rollouts: this.#rollouts.ownCounts };
  }

  #createCrashCoordinator(): CrashCoordinator {
    return new CrashCoordinator({
      adapter: this.#adapter,
      logger: this.#logger,
      random: this.#random,
      metrics: this.#metrics,
      directory: this.#directory,
      rollouts: this.#rollouts,
      store: this.#createStore('holds'),
      getExchange: () => this.#exchange,
      getStoreOffsetMs: () => this.#statusListener.storeOffsetMs,
      getEraLateMs: () => this.#storeEra.lateMs,
    });
  }

  #createKeeper(): RolloutKeeper {
    return new RolloutKeeper({
      tracker: this.#rollouts,
      writer: new StoreRolloutWriter(this.#adapter, this.#createStore('rollouts')),
      vm: this.#settings.vmName,
      freshness: this.#statusFreshness,
      logger: this.#logger,
      random: this.#random,
      getWriterRank: () => this.#exchange.writerRank,
      tellBadVersion: (report) => this.#exchange.sendBadVersion(report),
    });
  }
}

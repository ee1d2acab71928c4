/**
 * All of a daemon but its listeners: wired from interfaces, so that tests run the real code over fakes
 * and one process can hold several daemons.
 */
import {
  asId,
  onViolation,
  startActorSystem,
  stopActorSystem,
  type ActorSystem,
  type DataCentreId,
  type IncarnationId,
  type Logger,
  type Random,
} from '@snipehaven/common';
import { TableClaimStore } from '@snipehaven/claims';
import { ConfigurationReplica, type ReplicaState } from '@snipehaven/configuration';
import { ReplicatedUsageLedger, TableLedgerReader } from '@snipehaven/ledger';
import { Membership, TableLeaseKeeper } from '@snipehaven/membership';
import type {
  ObjectStoreClient,
  RaterClient,
  TableClient,
  VmListClient,
} from '@snipehaven/platform';
import type { PeerHandlers, PeerTransport } from '@snipehaven/protocol';
import { RolloutSystem } from '@snipehaven/rollouts';
import {
  AdmissionController,
  CrashTracker,
  LatencyTracker,
  RequestRouter,
  TeamLimiter,
  TeamShares,
  UpstreamRegistry,
  UpstreamWatcher,
  type RoutingDependencies,
  type RoutingSettings,
  type UpstreamWatcherSettings,
} from '@snipehaven/routing';
import {
  HmacSessionTokens,
  ReplicatedPinDirectory,
  type HmacSessionTokensOptions,
} from '@snipehaven/sessions';
import { HybridClock, Timeline } from '@snipehaven/timeline';
import type { EngineClient, ServiceClient } from '@snipehaven/upstream';
import { ClaimCleaner } from './claimCleaner.js';
import { createDaemonPlace } from './daemonPlace.js';
import { DaemonMetrics } from './metrics/daemonMetrics.js';

/** Who the daemon is. */
export interface DaemonIdentity {
  readonly vm: string;
  readonly dataCentre: string;
  /** `ip:port` at which peers reach the inner protocol. */
  readonly peerAddress: string;
  readonly incarnation: IncarnationId;
}

export interface DaemonCoreSettings {
  readonly seeds: readonly string[];
  readonly probeIntervalMs: number;
  readonly routing: RoutingSettings;
  readonly upstreams: UpstreamWatcherSettings;
  readonly maxQueued: number;
  readonly session: HmacSessionTokensOptions;
}

/** The outside as the daemon sees it. */
export interface DaemonCoreOptions {
  readonly identity: DaemonIdentity;
  readonly settings: DaemonCoreSettings;
  readonly table: TableClient;
  readonly objectStore: ObjectStoreClient;
  readonly vmList: VmListClient;
  readonly rater: RaterClient;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly random: Random;
  /** Replaces parts of the request path; the proofs show with it what breaks without a mechanism. */
  readonly decorateRouting?: (dependencies: RoutingDependencies) => RoutingDependencies;
  /** Replaces the state of the configuration, for the same purpose. */
  readonly replicaState?: ReplicaState;
}

/** How long a shutdown waits for the table to take the last answers. */
const CLAIM_FLUSH_MS = 5_000;

export class DaemonCore {
  readonly membership: Membership;

  readonly leases: TableLeaseKeeper;

  readonly configuration: ConfigurationReplica;

  readonly claims: TableClaimStore;

  readonly ledger: ReplicatedUsageLedger;

  readonly ledgerReader: TableLedgerReader;

  readonly pins: ReplicatedPinDirectory;

  readonly rollouts: RolloutSystem;

  readonly registry: UpstreamRegistry;

  readonly gate: AdmissionController;

  readonly teamShares: TeamShares;

  readonly router: RequestRouter;

  readonly timeline: Timeline;

  readonly metrics: DaemonMetrics;

  /** What the daemon answers to its peers. */
  readonly peerHandlers: PeerHandlers;

  readonly #options: DaemonCoreOptions;

  readonly #actors: ActorSystem = startActorSystem();

  readonly #watcher: UpstreamWatcher;

  readonly #claimCleaner: ClaimCleaner;

  readonly #crashes = new CrashTracker();

  readonly #stopWatchingViolations: () => void;

  #isStopping = false;

  constructor(options: DaemonCoreOptions) {
    const { identity, settings, table, objectStore, logger, random, transport } = options;
    this.#options = options;
    const clock = new HybridClock();
    const { vm, dataCentre, incarnation } = identity;
    this.timeline = new Timeline({ vm, dataCentre, incarnation }, clock);
    const { timeline } = this;
    this.membership = new Membership({
      self: { vm, dataCentre, incarnation, address: identity.peerAddress },
      seeds: settings.seeds,
      transport,
      vmList: options.vmList,
      timeline,
      logger,
      random,
      clock,
      settings: { probeIntervalMs: settings.probeIntervalMs },
    });
    const { membership } = this;
    const base = { table, objectStore, transport, membership, timeline, logger, random };
    this.leases = new TableLeaseKeeper({ table, incarnation, timeline, logger });
    this.configuration = new ConfigurationReplica({
      ...base,
      actorSystem: this.#actors,
      ...(options.replicaState === undefined ? {} : { state: options.replicaState }),
    });
    this.configuration.topics.forEach((topic) => membership.registerTopic(topic));
    this.claims = new TableClaimStore({
      ...base,
      incarnation,
      isIncarnationAlive: (other) => membership.isIncarnationAlive(other),
    });
    this.ledger = new ReplicatedUsageLedger({
      ...base,
      self: incarnation,
      engines: options.engines,
    });
    this.ledgerReader = new TableLedgerReader({ table, objectStore });
    this.pins = new ReplicatedPinDirectory(base);
    this.rollouts = new RolloutSystem({
      ...base,
      leases: this.leases,
      rater: options.rater,
      configuration: this.configuration,
      safeMoves: this.configuration.safeMoves,
      actorSystem: this.#actors,
    });
    this.rollouts.topics.forEach((topic) => membership.registerTopic(topic));
    membership.registerTopic(this.#crashes);
    this.registry = new UpstreamRegistry({
      localDataCentre: asId<DataCentreId>(dataCentre),
      random,
      timeline,
      getDaemonPlace: createDaemonPlace(membership),
    });
    this.teamShares = new TeamShares({
      ...base,
      leases: this.leases,
      getView: () => this.configuration.getView(),
    });
    this.gate = new AdmissionController(() => this.#getAdmissionSettings(), random);
    this.metrics = new DaemonMetrics(this.#listGauges());
    this.router = this.#createRouter();
    this.#watcher = new UpstreamWatcher({
      registry: this.registry,
      engines: options.engines,
      vmList: options.vmList,
      localDataCentre: dataCentre,
      logger,
      random,
      settings: settings.upstreams,
    });
    this.#claimCleaner = new ClaimCleaner({ claims: this.claims, membership, logger, random });
    this.peerHandlers = {
      membership: membership.handlers,
      configuration: this.configuration.handlers,
      usage: this.ledger.handlers,
      evidence: this.rollouts.handlers,
      limits: this.teamShares.handlers,
      sessions: this.pins.handlers,
      timeline: {
        listEvents: (query) => Promise.resolve({ events: timeline.list(query) }),
      },
    };
    this.#stopWatchingViolations = onViolation((promise, detail) => {
      timeline.record('invariantViolated', {}, { promise, detail });
      logger.error({ promise, detail }, 'a promise is broken');
    });
  }

  /** Whether new requests may come: there is a configuration, however old, and no shutdown. */
  get isServing(): boolean {
    return !this.#isStopping && this.configuration.getStatus().hasConfiguration;
  }

  /** Why the balancer should send no callers here; empty when it should. */
  listUnreadyReasons(): readonly string[] {
    return [
      ...(this.#isStopping ? ['shutting down'] : []),
      ...(this.configuration.getStatus().hasConfiguration ? [] : ['no configuration yet']),
      ...(this.teamShares.isUsable ? [] : ["no share of the teams' limits yet"]),
    ];
  }

  start(): void {
    this.timeline.record('daemonStarted', {});
    this.membership.start();
    this.configuration.start();
    this.ledger.start();
    this.pins.start();
    this.#claimCleaner.start();
    this.rollouts.start();
    this.teamShares.start();
    this.#watcher.start();
  }

  /**
   * Finishes what runs, hands over and leaves; resolves with what was left undone.
   *
   * What goes wrong: a request that comes over a kept-alive connection after the last one has ended, while
   * records are handed over, would be cut off by the end of the process. From here on new requests are
   * refused, not run, and go to another daemon.
   */
  async stop(deadlineMs: number): Promise<ShutdownReport> {
    this.timeline.record('daemonStopping', {});
    this.#isStopping = true;
    const isIdle = await this.#waitUntilIdle(deadlineMs);
    this.#watcher.stop();
    this.#claimCleaner.stop();
    await this.teamShares.stop();
    await this.rollouts.stop();
    await this.pins.stop();
    const { unwritten: unwrittenAnswers } = await this.claims.flush(CLAIM_FLUSH_MS);
    const unflushedRecords = await this.ledger.stop();
    this.configuration.stop();
    this.claims.stop();
    await this.membership.leave();
    this.#stopWatchingViolations();
    stopActorSystem(this.#actors);
    return {
      unfinishedRequests: isIdle ? 0 : this.router.active,
      unflushedRecords,
      unwrittenAnswers,
    };
  }

  /** Stops at once as a killed process would, for tests. */
  kill(): void {
    this.#watcher.stop();
    this.#claimCleaner.stop();
    this.rollouts.kill();
    this.teamShares.kill();
    this.membership.stop();
    this.configuration.stop();
    this.claims.stop();
    this.#stopWatchingViolations();
    stopActorSystem(this.#actors);
  }

  async #waitUntilIdle(deadlineMs: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<boolean>((resolve) => {
      timer = setTimeout(() => resolve(false), deadlineMs);
    });
    const idle = this.router.waitUntilIdle().then(() => true);
    const isIdle = await Promise.race([idle, timeout]);
    clearTimeout(timer);
    return isIdle;
  }

  #getAdmissionSettings(): { readonly maxRunning: number; readonly maxQueued: number } {
    const maxRunning = this.registry.getMaxRunning();
    return { maxRunning, maxQueued: this.#options.settings.maxQueued };
  }

  #createRouter(): RequestRouter {
    const { identity, settings, engines, services, logger, random } = this.#options;
    const dependencies: RoutingDependencies = {
      incarnation: identity.incarnation,
      dataCentre: asId<DataCentreId>(identity.dataCentre),
      configuration: this.configuration,
      safeMoves: this.configuration.safeMoves,
      claims: this.claims,
      ledger: this.ledger,
      tokens: new HmacSessionTokens(settings.session),
      pins: this.pins,
      evidence: this.rollouts.evidence,
      assigner: this.rollouts.assigner,
      crashes: this.#crashes,
      engines,
      services,
      registry: this.registry,
      latency: new LatencyTracker(),
      gate: this.gate,
      limiter: new TeamLimiter(this.teamShares),
      metrics: this.metrics,
      timeline: this.timeline,
      logger,
      random,
      settings: settings.routing,
    };
    return new RequestRouter(this.#options.decorateRouting?.(dependencies) ?? dependencies);
  }

  #listGauges(): ConstructorParameters<typeof DaemonMetrics>[0] {
    return [
      {
        name: 'snipehaven_requests_running',
        help: 'Requests that run.',
        read: () => this.gate.running,
      },
      {
        name: 'snipehaven_requests_queued',
        help: 'Requests that wait for room.',
        read: () => this.gate.queued,
      },
      {
        name: 'snipehaven_members_alive',
        help: 'Daemons held alive.',
        read: () => this.membership.listAlive().length,
      },
      {
        name: 'snipehaven_configuration_revision',
        help: 'Applied revision.',
        read: () => this.configuration.getStatus().revision,
      },
      {
        name: 'snipehaven_ledger_pending_records',
        help: 'Usage records not yet lasting.',
        read: () => this.ledger.getPendingCount(),
      },
    ];
  }
}

/** What a shutdown could not finish. */
export interface ShutdownReport {
  readonly unfinishedRequests: number;
  readonly unflushedRecords: number;
  /** Answers of non-idempotent requests that retries will not find. */
  readonly unwrittenAnswers: number;
}

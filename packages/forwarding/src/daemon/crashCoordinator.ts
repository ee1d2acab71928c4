/**
 * Connects the handling of crashed upstreams with the list of upstreams, other daemons, the store and
 * roll-outs.
 */
import type { Logger, Random } from '@snipehaven/common';
import { CrashTracker, HoldPersister } from '../crashes/index.js';
import type { ForwardMetrics } from '../edge/index.js';
import type { PeerExchange } from '../peers/index.js';
import type { RolloutTracker } from '../rollouts/index.js';
import type { RowStore } from '../store/index.js';
import type { UpstreamDirectory } from '../upstreams/index.js';
import { StoreHoldWriter } from './storeHoldWriter.js';
import type { PlatformAdapter } from './types.js';

export interface CrashCoordinatorOptions {
  readonly adapter: PlatformAdapter;
  readonly logger: Logger;
  readonly random: Random;
  readonly metrics: ForwardMetrics;
  readonly directory: UpstreamDirectory;
  readonly rollouts: RolloutTracker;
  /** Used for the rows of held requests. */
  readonly store: RowStore;
  /** The exchange is created after this object and available before the first request. */
  getExchange(): PeerExchange;
  /** The store's monotonic clock minus ours in ms; undefined until it is known. */
  getStoreOffsetMs(): number | undefined;
  /** How much later than others this daemon learned that the store came back from a copy, in ms. */
  getEraLateMs(): number;
}

export class CrashCoordinator {
  readonly tracker: CrashTracker;

  readonly holdPersister: HoldPersister;

  readonly #options: CrashCoordinatorOptions;

  constructor(options: CrashCoordinatorOptions) {
    const { adapter, logger, random, store, metrics } = options;
    const { getExchange, getStoreOffsetMs, getEraLateMs } = options;
    this.#options = options;
    this.tracker = new CrashTracker({
      logger,
      random,
      listInFlight: () => options.directory.listInFlight(),
      broadcast: (report) => getExchange().broadcastCrashMessage(report),
    });
    this.holdPersister = new HoldPersister({
      tracker: this.tracker,
      writer: new StoreHoldWriter(adapter, store),
      vm: adapter.settings.vmName,
      logger,
      random,
      getStoreOffsetMs,
      getEraLateMs,
      getWriterRank: () => getExchange().writerRank,
    });
    this.#connect();
    metrics.addGauge(
      'snipehaven_requests_held',
      'Requests that are held back because upstreams ended under them.',
      () => this.tracker.heldCount,
    );
  }

  #connect(): void {
    const { directory, metrics } = this.#options;
    directory.watchExits({
      onExit: (end) => {
        metrics.countUpstreamExit(end.upstream.service);
        this.tracker.recordExit(end);
      },
      onAlive: (lifeId) => this.tracker.noteAlive(lifeId),
    });
    this.tracker.addListener({
      onEnded: (lifeId) => this.#judgeEnd(lifeId),
      onHeld: ({ digest }) => directory.holdBack(digest),
    });
  }

  /**
   * A version whose upstreams crash unexpectedly is bad. Each crash counts as one failed answer, at
   * only one daemon: if the thirty requests lost with an upstream all counted, a single harmful
   * request would roll back a good version.
   */
  #judgeEnd(lifeId: string): void {
    const { directory, rollouts, getExchange } = this.#options;
    const entry = directory.findIncarnation(lifeId);
    if (entry?.isReady === true && getExchange().isFirstWriter) {
      const { service, softwareVersion, dataCentre } = entry.upstream;
      const work = { service, softwareVersion, dataCentre, workKind: 'end' };
      rollouts.recordAnswer({ ...work, isFailed: true });
    }
  }
}

/** Joins what upstreams' ends concern: the list of upstreams, other daemons, the store and roll-outs. */
import type { Logger, Random } from '@snipehaven/common';
import { CrashBook, HoldKeeper } from '../crashes/index.js';
import type { ForwardMetrics } from '../edge/index.js';
import type { PeerExchange } from '../peers/index.js';
import type { RolloutGuide } from '../rollouts/index.js';
import type { RowStore } from '../store/index.js';
import type { UpstreamDirectory } from '../upstreams/index.js';
import { StoreHoldWriter } from './storeHoldWriter.js';
import type { PlatformAdapter } from './types.js';

export interface CrashWatchOptions {
  readonly adapter: PlatformAdapter;
  readonly logger: Logger;
  readonly random: Random;
  readonly metrics: ForwardMetrics;
  readonly directory: UpstreamDirectory;
  readonly rollouts: RolloutGuide;
  /** For rows of requests that are held back. */
  readonly store: RowStore;
  /** Made later than this, and there before the first request. */
  getExchange(): PeerExchange;
  /** The store's steady clock less ours, in ms; undefined until it was heard. */
  getStoreOffsetMs(): number | undefined;
}

export class CrashWatch {
  readonly book: CrashBook;

  readonly keeper: HoldKeeper;

  readonly #options: CrashWatchOptions;

  constructor(options: CrashWatchOptions) {
    const { adapter, logger, random, store, metrics, getExchange, getStoreOffsetMs } = options;
    this.#options = options;
    this.book = new CrashBook({
      logger,
      random,
      tell: (news) => getExchange().broadcastCrashReport(news),
    });
    this.keeper = new HoldKeeper({
      book: this.book,
      writer: new StoreHoldWriter(adapter, store),
      vm: adapter.settings.vmName,
      logger,
      random,
      getStoreOffsetMs,
      getWriterRank: () => getExchange().writerRank,
    });
    this.#connect();
    metrics.addGauge(
      'snipehaven_requests_held',
      'Requests that are held back because upstreams ended under them.',
      () => this.book.heldCount,
    );
  }

  #connect(): void {
    const { directory, metrics } = this.#options;
    directory.watchEnds({
      onEnd: (end) => {
        metrics.countUpstreamEnd(end.upstream.service);
        this.book.noteEnd(end);
      },
      onAlive: (lifeId) => this.book.noteAlive(lifeId),
    });
    this.book.watch({
      onEnded: (lifeId) => this.#judgeEnd(lifeId),
      onHeld: ({ digest }) => directory.holdBack(digest),
    });
  }

  /**
   * A version whose upstreams end by themselves is bad. Each end counts as one failed answer, at one daemon:
   * thirty requests lost with one upstream would roll a good version back for one deadly request.
   */
  #judgeEnd(lifeId: string): void {
    const { directory, rollouts, getExchange } = this.#options;
    const entry = directory.findLife(lifeId);
    if (entry?.upstream.state === 'ready' && getExchange().isFirstWriter) {
      const { service, softwareVersion, dataCentre } = entry.upstream;
      const work = { service, softwareVersion, dataCentre, workKind: 'end' };
      rollouts.noteAnswer({ ...work, isFailed: true });
    }
  }
}

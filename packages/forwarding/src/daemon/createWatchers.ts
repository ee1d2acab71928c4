/** Creates the watchers of the store's tables with their listeners and waits. */
import type { Logger, Random } from '@snipehaven/common';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import { Freshness } from '../configuration/freshness.js';
import type { StoreClock } from '../configuration/storeClock.js';
import type { ReaderRegistry, PeerExchange } from '../peers/index.js';
import type { RolloutTracker } from '../rollouts/index.js';
import { TableWatcher, type RowStore, type StoreEra } from '../store/index.js';
import type { UpstreamDirectory } from '../upstreams/index.js';
import { createOperatorRetention, createUpstreamRetention } from './rowRetention.js';
import { OperatorListener, UpstreamListener, type StatusListener } from './tableListeners.js';
import type { ForwardSettings, PlatformAdapter } from './types.js';

/**
 * How long the store may hold a request. Feeds go silent without a reset, which shows only in a
 * late answer: keys must be confirmed well within the revoke deadline, and leaving upstreams must
 * be known while they drain. Shorter waits would cost more calls.
 */
const OPERATOR_WAIT_MS = 2_500;
const UPSTREAM_WAIT_MS = 2_300;

/** Leaves a follower time to ask the store before changes of the configuration are late. */
const CONFIRMATION_MARGIN_MS = 300;

/**
 * During a roll-out: a daemon without contact stops changing its share after 3.5 s. Without a
 * roll-out, the table only announces new peers.
 */
const ROLLOUT_WAIT_MS = 2_800;
const STATUS_WAIT_MS = 10_000;

/** At most about a tenth of the time within which changes must be in force. */
const OPERATOR_BATCH_DELAY_MS = 120;
const UPSTREAM_BATCH_DELAY_MS = 300;
const STATUS_BATCH_DELAY_MS = 150;

export interface WatcherDependencies {
  readonly adapter: PlatformAdapter;
  readonly logger: Logger;
  readonly random: Random;
  readonly readerRegistry: ReaderRegistry;
  readonly exchange: PeerExchange;
  readonly configuration: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  readonly rollouts: RolloutTracker;
  readonly storeClock: StoreClock;
  readonly storeEra: StoreEra;
  readonly statusListener: StatusListener;
  readonly statusFreshness: Freshness;
  createStore(purpose: string): RowStore;
}

/**
 * Options that all watchers share. Each has its own client, so that a held call does not delay the
 * others.
 */
const getCommonOptions = (dependencies: WatcherDependencies, table: string) => ({
  table,
  store: dependencies.createStore(table),
  logger: dependencies.logger,
  random: dependencies.random,
  readerRegistry: dependencies.readerRegistry,
  storeEra: dependencies.storeEra,
  countDaemons: () => dependencies.exchange.daemons,
  getReaderRank: (lostReaders?: ReadonlySet<string>) =>
    dependencies.exchange.getReaderRank(lostReaders),
  source: dependencies.exchange.tables,
});

const getMaxUnconfirmedMs = ({ configurationDeadlineMs }: ForwardSettings): number =>
  Math.max(configurationDeadlineMs - CONFIRMATION_MARGIN_MS, configurationDeadlineMs / 2);

const watchOperator = (dependencies: WatcherDependencies): TableWatcher =>
  new TableWatcher({
    getWaitMs: () => OPERATOR_WAIT_MS,
    isStaggered: true,
    maxUnconfirmedMs: getMaxUnconfirmedMs(dependencies.adapter.settings),
    batchDelayMs: OPERATOR_BATCH_DELAY_MS,
    listener: new OperatorListener(dependencies),
    retention: createOperatorRetention(dependencies.adapter),
    freshness: dependencies.configuration.freshness,
    ...getCommonOptions(dependencies, dependencies.adapter.tables.operator),
  });

const watchUpstreams = (dependencies: WatcherDependencies): TableWatcher =>
  new TableWatcher({
    getWaitMs: () => UPSTREAM_WAIT_MS,
    batchDelayMs: UPSTREAM_BATCH_DELAY_MS,
    listener: new UpstreamListener(
      dependencies.adapter,
      dependencies.directory,
      dependencies.logger,
    ),
    retention: createUpstreamRetention(dependencies.adapter),
    freshness: new Freshness(dependencies.storeClock),
    ...getCommonOptions(dependencies, dependencies.adapter.tables.upstreams),
  });

const watchStatus = (dependencies: WatcherDependencies): TableWatcher =>
  new TableWatcher({
    getWaitMs: () => (dependencies.rollouts.isAnyRunning ? ROLLOUT_WAIT_MS : STATUS_WAIT_MS),
    batchDelayMs: STATUS_BATCH_DELAY_MS,
    listener: dependencies.statusListener,
    freshness: dependencies.statusFreshness,
    ...getCommonOptions(dependencies, dependencies.adapter.tables.status),
  });

export const createWatchers = (dependencies: WatcherDependencies): readonly TableWatcher[] => [
  watchOperator(dependencies),
  watchUpstreams(dependencies),
  watchStatus(dependencies),
];

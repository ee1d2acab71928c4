/** The watchers of the store's tables, each with what it tells and how long it waits. */
import type { Logger, Random } from '@snipehaven/common';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import { Freshness } from '../configuration/freshness.js';
import type { StoreClock } from '../configuration/storeClock.js';
import type { ReaderRegistry, PeerExchange } from '../peers/index.js';
import type { RolloutGuide } from '../rollouts/index.js';
import { TableWatcher, type RowStore } from '../store/index.js';
import type { UpstreamDirectory } from '../upstreams/index.js';
import { OperatorListener, UpstreamListener, type StatusListener } from './tableListeners.js';
import type { PlatformAdapter } from './types.js';

/**
 * How long the store may hold a question. Feeds go silent without a reset, and only a late answer shows
 * it: keys must be confirmed well within the revoke deadline, and upstreams that leave be known within
 * the time in which they drain. Shorter waits cost calls.
 */
const OPERATOR_WAIT_MS = 2_500;
const UPSTREAM_WAIT_MS = 2_300;

/** A daemon out of touch holds its share after 3.5 s; without a roll-out only new peers are told. */
const ROLLOUT_WAIT_MS = 2_800;
const STATUS_WAIT_MS = 10_000;

/** A tenth or less of the time in which changes must be in force. */
const OPERATOR_GATHER_MS = 120;
const UPSTREAM_GATHER_MS = 300;
const STATUS_GATHER_MS = 150;

export interface WatchedParts {
  readonly adapter: PlatformAdapter;
  readonly logger: Logger;
  readonly random: Random;
  readonly readerRegistry: ReaderRegistry;
  readonly exchange: PeerExchange;
  readonly configuration: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  readonly rollouts: RolloutGuide;
  readonly storeClock: StoreClock;
  readonly statusListener: StatusListener;
  readonly statusFreshness: Freshness;
  createStore(purpose: string): RowStore;
}

/**
 * What all watchers have in common; each has a client of its own, so that a held call delays no
 * other.
 */
const getCommonOptions = (parts: WatchedParts, table: string) => ({
  table,
  store: parts.createStore(table),
  logger: parts.logger,
  random: parts.random,
  readerRegistry: parts.readerRegistry,
  countDaemons: () => parts.exchange.daemons,
  getReaderRank: (lostReaders?: ReadonlySet<string>) => parts.exchange.getReaderRank(lostReaders),
  source: parts.exchange,
});

const watchOperator = (parts: WatchedParts): TableWatcher =>
  new TableWatcher({
    getWaitMs: () => OPERATOR_WAIT_MS,
    batchDelayMs: OPERATOR_GATHER_MS,
    listener: new OperatorListener(parts),
    freshness: parts.configuration.freshness,
    ...getCommonOptions(parts, parts.adapter.tables.operator),
  });

const watchUpstreams = (parts: WatchedParts): TableWatcher =>
  new TableWatcher({
    getWaitMs: () => UPSTREAM_WAIT_MS,
    batchDelayMs: UPSTREAM_GATHER_MS,
    listener: new UpstreamListener(parts.adapter, parts.directory, parts.logger),
    freshness: new Freshness(parts.storeClock),
    ...getCommonOptions(parts, parts.adapter.tables.upstreams),
  });

const watchStatus = (parts: WatchedParts): TableWatcher =>
  new TableWatcher({
    getWaitMs: () => (parts.rollouts.isAnyRunning ? ROLLOUT_WAIT_MS : STATUS_WAIT_MS),
    batchDelayMs: STATUS_GATHER_MS,
    listener: parts.statusListener,
    freshness: parts.statusFreshness,
    ...getCommonOptions(parts, parts.adapter.tables.status),
  });

export const createWatchers = (parts: WatchedParts): readonly TableWatcher[] => [
  watchOperator(parts),
  watchUpstreams(parts),
  watchStatus(parts),
];

/** Simulates many daemons in one process with an in-memory network and store and a fake clock. */
import type { Clock } from '@sinonjs/fake-timers';
import { createRandom, createSilentLogger } from '@snipehaven/common';
import { Freshness } from '../../configuration/freshness.js';
import { StoreClock } from '../../configuration/storeClock.js';
import { TableWatcher } from '../../store/tableWatcher.js';
import type { RetentionPolicy } from '../../store/rowRetention.js';
import { StoreEra } from '../../store/storeEra.js';
import { MemoryStore } from '../../store/testSupport/memoryStore.js';
import {
  NO_ROLLOUT_TIMES,
  type SharedStatistics,
  type RolloutCounts,
} from '../sharedStatistics.js';
import type { UpstreamLoad } from '../loadMessage.js';
import { ReaderRegistry } from '../readerRegistry.js';
import { PeerDirectory, type Peer } from '../peerDirectory.js';
import { PeerExchange } from '../peerExchange.js';
import { PeerLoads } from '../peerLoads.js';
import { DatagramNetwork, type Traffic } from './datagramNetwork.js';

export interface WatchedTable {
  readonly watcher: TableWatcher;
  readonly freshness: Freshness;
  /** Values of the rows as passed to the listener, by key. */
  readonly known: Map<string, string>;
  /** When the table was first known, on the monotonic clock. */
  knownAtMs: number | undefined;
  /** Number of `onStoreRecovered` calls. */
  recoveries: number;
  /** `known` at each of them. */
  readonly knownAtRecoveries: ReadonlyMap<string, string>[];
}

export interface FleetMember {
  readonly self: Peer;
  readonly directory: PeerDirectory;
  readonly loads: PeerLoads;
  readonly readerRegistry: ReaderRegistry;
  readonly exchange: PeerExchange;
  /** Current loads of this daemon at the upstreams; changed by the test. */
  readonly ownLoads: Map<string, UpstreamLoad>;
  /** Empty unless the fleet has a store. */
  readonly tables: readonly WatchedTable[];
}

interface WatcherContext {
  readonly clock: StoreClock;
  readonly storeEra: StoreEra;
  readonly seed: number;
}

export interface FleetOptions {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly lossShare?: number;
  /** One-way delay between two daemons, including their own processing. */
  readonly delayMs?: number;
  readonly seed?: number;
  /**
   * Number of seed daemons through which the others are discovered; with none, all daemons know
   * each other from the start.
   */
  readonly seeds?: number;
  /** Tables of the store that all daemons follow. */
  readonly tables?: readonly string[];
  /** Time after which followers ask the store about the table `operator` themselves. */
  readonly maxUnconfirmedMs?: number;
  readonly retention?: RetentionPolicy;
}

/** Typical of a region with idle daemons. */
const DELAY_MS = 1;

const SEED = 1;

/** Pending promises are run after each step of the fake clock. */
const STEP_MS = 5;

const TABLE_WAIT_MS = 2_400;

/** As in a real daemon, its readers' requests are staggered. */
const CONFIGURATION_TABLE = 'operator';

const createSelf = (index: number, dataCentres: number): Peer => ({
  vm: `vm-${index}`,
  dataCentre: `dc-${index % dataCentres}`,
  host: `10.0.0.${index}`,
  port: 7_000,
});

const { setImmediate: runPendingCallbacks } = globalThis;

/** Counts that each daemon reports for a roll-out of the service `s`. */
const OWN_ROLLOUT_COUNTS: RolloutCounts = {
  candidate: { answers: 3, bad: 1 },
  present: { answers: 5, bad: 0 },
  candidateAtFullShare: new Map([['dc-0', { answers: 2, bad: 0.5 }]]),
  times: NO_ROLLOUT_TIMES,
  step: 0,
};

export class DaemonFleet {
  readonly network: DatagramNetwork;

  readonly store = new MemoryStore();

  #members: readonly FleetMember[];

  /** Number of processes started so far, which tells those of one VM apart. */
  #processes = 0;

  readonly #clock: Clock;

  readonly #options: FleetOptions;

  readonly #selves: readonly Peer[];

  constructor(clock: Clock, options: FleetOptions) {
    const {
      daemons,
      dataCentres,
      lossShare = 0,
      seed = SEED,
      seeds = 0,
      delayMs = DELAY_MS,
    } = options;
    this.#clock = clock;
    this.#options = options;
    this.network = new DatagramNetwork({
      random: createRandom(seed),
      delayMs,
      lossShare,
    });
    this.#selves = Array.from({ length: daemons }, (_, index) => createSelf(index, dataCentres));
    this.#members = this.#selves.map((self) => this.#createMember(self, seed));
    if (seeds === 0) {
      this.members.forEach(({ directory }) => this.#selves.forEach((peer) => directory.put(peer)));
    }
  }

  get members(): readonly FleetMember[] {
    return this.#members;
  }

  /**
   * Starts the daemons spread over a third of a second, as timers of real daemons are not in phase.
   */
  async start(members: readonly FleetMember[] = this.members): Promise<void> {
    const gapMs = 333 / members.length;
    for (const { exchange, tables } of members) {
      await exchange.start();
      tables.forEach(({ watcher }) => {
        void watcher.run();
      });
      await this.advance(gapMs);
    }
  }

  stop(): void {
    this.members.forEach((member) => this.stopMember(member));
  }

  stopMember({ exchange, tables }: FleetMember): void {
    exchange.stop();
    tables.forEach(({ watcher }) => watcher.stop());
  }

  /** Starts new processes of the VMs of stopped members, which replace these in the fleet. */
  async restart(stopped: readonly FleetMember[]): Promise<readonly FleetMember[]> {
    const { seed = SEED } = this.#options;
    const started = stopped.map(({ self }) => this.#createMember(self, seed));
    this.#members = [...this.#members.filter((member) => !stopped.includes(member)), ...started];
    await this.start(started);
    return started;
  }

  /** Advances the clock in steps and runs pending promises after each. */
  async advance(durationMs: number): Promise<void> {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= STEP_MS) {
      this.#clock.tick(Math.min(STEP_MS, leftMs));
      await new Promise((resolve) => {
        runPendingCallbacks(resolve);
      });
    }
  }

  /** Mean per daemon and second. */
  measureTraffic(durationMs: number): Traffic {
    this.network.clearTraffic();
    this.#clock.tick(durationMs);
    const scale = 1_000 / durationMs / this.members.length;
    const add = (field: keyof Traffic): number =>
      this.network.traffic.reduce((sum, traffic) => sum + traffic[field], 0) * scale;
    return { sent: add('sent'), received: add('received'), receivedBytes: add('receivedBytes') };
  }

  #createMember(self: Peer, firstSeed: number): FleetMember {
    const seed = firstSeed + this.#processes;
    this.#processes += 1;
    const random = createRandom(seed);
    const directory = new PeerDirectory(self, random);
    const loads = new PeerLoads();
    const storeEra = new StoreEra();
    const readerRegistry = new ReaderRegistry(self.vm, self.dataCentre, storeEra);
    const ownLoads = new Map<string, UpstreamLoad>();
    const clock = new StoreClock();
    const learned: SharedStatistics = {
      paces: [
        {
          service: 's',
          work: 100,
          tookMs: 1 + seed,
          answers: 1,
          workSquares: 10_000,
          workTimes: 100 * (1 + seed),
        },
      ],
      demands: [{ service: 's', model: 'm', work: 10 }],
      rollouts: [{ service: 's', orderRevision: { era: 1, version: 1 }, ...OWN_ROLLOUT_COUNTS }],
    };
    const tables: WatchedTable[] = [];
    const exchange = new PeerExchange({
      directory,
      loads,
      readerRegistry,
      storeEra,
      clock,
      port: this.network.createPort(self),
      seeds: this.#selves.slice(0, this.#options.seeds ?? 0),
      listSnapshots: () => tables.flatMap(({ watcher }) => watcher.snapshot ?? []),
      logger: createSilentLogger(),
      meter: { countDatagram: () => {} },
      random,
      processId: seed,
      readOwnLoads: () => new Map(ownLoads),
      readOwnStatistics: () => learned,
      onCrashMessage: () => {},
      onBadVersion: () => {},
      onRateLimits: () => {},
      onLeavings: () => {},
      onBrittle: () => {},
      onPlaceMessage: () => {},
    });
    const member = { self, directory, loads, readerRegistry, exchange, ownLoads, tables };
    const names = this.#options.tables ?? [];
    tables.push(
      ...names.map((table) => this.#createWatchedTable(table, member, { clock, storeEra, seed })),
    );
    return member;
  }

  #createWatchedTable(
    table: string,
    { self, readerRegistry, exchange }: FleetMember,
    { clock, storeEra, seed }: WatcherContext,
  ): WatchedTable {
    const { maxUnconfirmedMs, retention } = this.#options;
    const freshness = new Freshness(clock);
    const known = new Map<string, string>();
    const watcher = new TableWatcher({
      table,
      getWaitMs: () => TABLE_WAIT_MS,
      isStaggered: table === CONFIGURATION_TABLE,
      ...(table === CONFIGURATION_TABLE && maxUnconfirmedMs !== undefined
        ? { maxUnconfirmedMs }
        : {}),
      ...(retention === undefined ? {} : { retention }),
      batchDelayMs: 0,
      storeEra,
      store: this.store.createClient(self.vm, (era) => storeEra.observe(era, 'store')),
      listener: {
        onSnapshot: (rows) => {
          known.clear();
          rows.forEach(({ key, value }) => known.set(key, value));
          watchedTable.knownAtMs ??= performance.now();
        },
        onChange: ({ key, value }) =>
          value === undefined ? known.delete(key) : known.set(key, value),
        onStoreRecovered: () => {
          watchedTable.recoveries += 1;
          watchedTable.knownAtRecoveries.push(new Map(known));
        },
      },
      logger: createSilentLogger(),
      random: createRandom(seed),
      freshness,
      readerRegistry,
      countDaemons: () => exchange.daemons,
      getReaderRank: (lostReaders) => exchange.getReaderRank(lostReaders),
      source: exchange.tables,
    });
    const watchedTable: WatchedTable = {
      watcher,
      freshness,
      known,
      knownAtMs: undefined,
      recoveries: 0,
      knownAtRecoveries: [],
    };
    return watchedTable;
  }
}

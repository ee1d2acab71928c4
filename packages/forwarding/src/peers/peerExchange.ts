/** Communication of a daemon with the other daemons, over datagrams. */
import type { Logger, Random } from '@snipehaven/common';
import type { PlaceMessage } from '../places/types.js';
import type { StoreClock } from '../configuration/storeClock.js';
import type { StoreEra } from '../store/storeEra.js';
import type { SnapshotSource, TableSnapshot } from '../store/types.js';
import type { SocketAddress } from '../types.js';
import { encodeCrashMessage, type CrashMessage } from './crashMessage.js';
import { ChangesRelay } from './changesRelay.js';
import { parseDatagram } from './datagram.js';
import {
  createDatagramHandlers,
  dispatchDatagram,
  type DatagramHandler,
  type ReceivedDatagram,
} from './datagramDispatch.js';
import type { DatagramPort } from './datagramPort.js';
import { encodeJoinMessage, type JoinMessage } from './joinMessages.js';
import { JoinProtocol } from './joinProtocol.js';
import type { SharedStatistics } from './sharedStatistics.js';
import type { UpstreamLoad } from './loadMessage.js';
import { MeshStrategy } from './meshStrategy.js';
import { MAX_MESH_DAEMONS, type ReaderRegistry } from './readerRegistry.js';
import type { Peer, PeerDirectory } from './peerDirectory.js';
import type { PeerLoads } from './peerLoads.js';
import { PeerMessenger, type DatagramMeter } from './peerMessenger.js';
import { READER_ORDER, WRITER_ORDER } from './rendezvousOrder.js';
import { Roster } from './roster.js';
import { TableExchange } from './tableExchange.js';
import { AggregationStrategy } from './aggregationStrategy.js';
import { TICK_MS, type LoadDatagram, type LoadSharingStrategy } from './loadSharingStrategy.js';
import { encodeBadVersion, type BadVersionMessage } from './badVersionMessage.js';
import { encodeBrittle, type BrittleNews } from './brittleMessage.js';
import { encodePlaceMessage } from './placeMessage.js';
import { encodeLeavings, type LeavingNews } from './leavingMessage.js';
import { encodeRateLimits, type RateLimitNews } from './rateLimitMessage.js';

export interface PeerExchangeOptions {
  readonly directory: PeerDirectory;
  readonly loads: PeerLoads;
  readonly readerRegistry: ReaderRegistry;
  readonly storeEra: StoreEra;
  readonly port: DatagramPort;
  readonly clock: StoreClock;
  readonly logger: Logger;
  readonly random: Random;
  readonly meter: DatagramMeter;
  /** Distinguishes this process from earlier ones of the same VM. */
  readonly processId: number;
  /** Addresses of daemons from the settings; these daemons may no longer exist. */
  readonly seeds: readonly SocketAddress[];
  readOwnLoads(): ReadonlyMap<string, UpstreamLoad>;
  readOwnStatistics(): SharedStatistics;
  /** The store's tables as currently known by this daemon. */
  listSnapshots(): readonly TableSnapshot[];
  /** Called when another daemon reports upstreams that crashed. */
  onCrashMessage(report: CrashMessage): void;
  /** Called when another daemon has judged a version bad. */
  onBadVersion(report: BadVersionMessage): void;
  /** Called when another daemon has heard of rate limits of upstreams. */
  onRateLimits(news: readonly RateLimitNews[]): void;
  /** Called when another daemon has heard that upstreams are leaving. */
  onLeavings(news: readonly LeavingNews[]): void;
  /** Called when another daemon has heard that upstreams of services are brittle. */
  onBrittle(news: readonly BrittleNews[]): void;
  /** Called when another daemon asks for, lends or returns places at brittle upstreams. */
  onPlaceMessage(message: PlaceMessage): void;
}

/**
 * Work of this size is reported at once instead of at the next tick; it takes an engine a tenth of
 * a second. Until it is reported, other daemons see an idle engine and send it their long prompts
 * too.
 */
const LARGE_WORK = 4_000;

/** A tick that is overdue by more than this means that the VM was suspended. */
const PAUSE_THRESHOLD_MS = 3 * TICK_MS;

/**
 * Crash reports are sent twice, because a lost one is never requested again. The delay gives a
 * congested link time to drain.
 */
const REPEAT_DELAY_MS = 200;

/** Between rosters sent to a random daemon; a roster of 400 daemons takes about 5 KB compressed. */
const ROSTER_INTERVAL_MS = 3_000;

type StrategyName = 'mesh' | 'sums';

export class PeerExchange {
  readonly #options: PeerExchangeOptions;

  readonly #messenger: PeerMessenger;

  readonly #strategies: Readonly<Record<StrategyName, LoadSharingStrategy>>;

  readonly #roster: Roster;

  readonly #joinProtocol: JoinProtocol;

  readonly #relay: ChangesRelay;

  readonly #tables: TableExchange;

  readonly #handlers: readonly DatagramHandler[] = createDatagramHandlers({
    loads: (datagram) => this.#receiveLoads(datagram),
    changes: (changes, { bytes, host }) => this.#relay.receive(changes, bytes, host),
    join: (message, datagram) => this.#receiveJoin(message, datagram),
    tables: (message, datagram) => this.#tables.receive(message, datagram),
    crashes: (report) => this.#options.onCrashMessage(report),
    badVersion: (report) => this.#options.onBadVersion(report),
    rateLimits: (news) => this.#options.onRateLimits(news),
    leavings: (news) => this.#options.onLeavings(news),
    brittle: (news) => this.#options.onBrittle(news),
    places: (message) => this.#options.onPlaceMessage(message),
  });

  #timer: NodeJS.Timeout | undefined;

  /** Multiples of `TICK_MS` since the start. */
  #ticks = 0;

  #dueAtMs = 0;

  #rosterSentAtMs = 0;

  /** Requests that are still running may cause messages after the port is closed. */
  #isStopped = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    const { directory, processId, port, readerRegistry } = options;
    const { meter, storeEra } = options;
    const messenger = new PeerMessenger(directory.self, processId, port, meter, storeEra);
    this.#messenger = messenger;
    this.#roster = new Roster(directory);
    this.#joinProtocol = new JoinProtocol({ ...options, messenger, roster: this.#roster });
    this.#relay = new ChangesRelay({
      directory,
      readerRegistry,
      messenger,
      pickRemoteRelays: () => this.#strategy.pickRemoteRelays(performance.now()),
    });
    this.#tables = new TableExchange({
      ...options,
      messenger,
      waitForSnapshot: (table) => this.#joinProtocol.waitForSnapshot(table),
      sendReports: () => this.#strategy.sendReports(performance.now()),
    });
    const context = { ...options, messenger };
    this.#strategies = {
      mesh: new MeshStrategy(context),
      sums: new AggregationStrategy(context, performance.now()),
    };
  }

  async start(): Promise<void> {
    const { port, readerRegistry } = this.#options;
    await port.open((bytes, host) => this.#receive(bytes, host));
    readerRegistry.onOwnChanges((changes) => {
      this.#relay.broadcast(changes);
      this.#strategy.sendReports(performance.now());
    });
    const nowMs = performance.now();
    this.#rosterSentAtMs = nowMs;
    this.#scheduleTick(nowMs);
    this.#joinProtocol.start();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#joinProtocol.stop();
    this.#tables.stop();
    this.#options.port.close();
  }

  /** Number of known daemons, including this one. */
  get daemons(): number {
    return this.#options.directory.daemonCount;
  }

  get hasDiscoveredPeers(): boolean {
    return this.#joinProtocol.hasDiscoveredPeers(performance.now());
  }

  /** Number of daemons that precede this one in the rendezvous order of the key. */
  countBefore(key: string): number {
    return this.#options.directory.countBefore(key);
  }

  /**
   * Number of daemons that precede this one as reader of the store: the lower of its rank in the
   * region and twice its rank in its data centre, so that a disconnected data centre has first
   * readers of its own. In a small fleet all read at once. Undefined while the daemon settles and
   * leaves reading to others. Lost readers are skipped, so that no daemon waits for their turn.
   */
  getReaderRank(lostReaders: ReadonlySet<string> = new Set()): number | undefined {
    if (this.#joinProtocol.isSettling(performance.now())) {
      return undefined;
    }
    const { directory } = this.#options;
    const { vm } = directory.self;
    const isCandidate = (other: string): boolean => other === vm || !lostReaders.has(other);
    const rank = directory.rank(READER_ORDER).filter(isCandidate).indexOf(vm);
    const localRank = directory.rankLocal(READER_ORDER).filter(isCandidate).indexOf(vm);
    return this.#isSmallFleet ? 0 : Math.min(rank, 2 * localRank);
  }

  /** Whether this daemon counts events that must be counted only once in the fleet. */
  get isFirstWriter(): boolean {
    const { directory } = this.#options;
    return directory.rank(WRITER_ORDER)[0] === directory.self.vm;
  }

  /**
   * Number of daemons that precede this one as writer of roll-out status; undefined in a small
   * fleet.
   */
  get writerRank(): number | undefined {
    const { directory } = this.#options;
    const rank = directory.rank(WRITER_ORDER).indexOf(directory.self.vm);
    return this.#isSmallFleet ? undefined : rank;
  }

  /** Tables that other daemons send. */
  get tables(): SnapshotSource {
    return this.#tables;
  }

  /**
   * Sent directly to all daemons, even in a large fleet. Crash reports are rare, any daemon may
   * receive the suspect request next, and a relayed report would be lost together with the relaying
   * daemon.
   */
  broadcastCrashMessage(report: CrashMessage): void {
    const bytes = encodeCrashMessage(report);
    const send = (): void => {
      if (!this.#isStopped) {
        this.#messenger.sendTo(this.#options.directory.all, bytes);
      }
    };
    send();
    setTimeout(send, REPEAT_DELAY_MS).unref();
  }

  /**
   * Sent to one random daemon at a time. Each receiver sends it on, so all daemons know it within
   * seconds.
   */
  sendBadVersion(report: BadVersionMessage): void {
    const peer = this.#options.directory.pickAny();
    if (peer !== undefined && !this.#isStopped) {
      this.#messenger.sendTo([peer], encodeBadVersion(report));
    }
  }

  /**
   * Sent directly to all daemons: until a daemon knows of the limit, it sends its usual requests. A
   * lost datagram is not repeated, as news of a limit in force is renewed.
   */
  broadcastRateLimits(news: readonly RateLimitNews[]): void {
    if (!this.#isStopped) {
      this.#messenger.sendTo(this.#options.directory.all, encodeRateLimits(news));
    }
  }

  /** Sent directly to all daemons: the store may be away, or name the upstream as ready for long. */
  broadcastLeavings(news: readonly LeavingNews[]): void {
    if (!this.#isStopped) {
      this.#messenger.sendTo(this.#options.directory.all, encodeLeavings(news));
    }
  }

  /** Sent directly to all daemons: until a daemon knows, it sends its usual requests. */
  broadcastBrittle(news: readonly BrittleNews[]): void {
    if (!this.#isStopped) {
      this.#messenger.sendTo(this.#options.directory.all, encodeBrittle(news));
    }
  }

  /** Not sent if the daemon is no longer known. */
  sendPlaceMessage(vm: string, message: PlaceMessage): void {
    const peer = this.#options.directory.find(vm);
    if (peer !== undefined && !this.#isStopped) {
      this.#messenger.sendTo([peer], encodePlaceMessage(message));
    }
  }

  /** Sends news of rate limits to one random daemon. */
  askAboutRateLimits(news: readonly RateLimitNews[]): void {
    const peer = this.#options.directory.pickAny();
    if (peer !== undefined && !this.#isStopped) {
      this.#messenger.sendTo([peer], encodeRateLimits(news));
    }
  }

  /** Reports newly placed work to the other daemons at once if it is large. */
  notePlacedWork(work: number): void {
    if (work >= LARGE_WORK) {
      this.#strategy.sendLoads(performance.now());
    }
  }

  /** Adds a daemon whose address was found in the store. */
  addPeer(peer: Peer): void {
    this.#roster.record(peer, performance.now());
  }

  get #isSmallFleet(): boolean {
    return this.daemons <= MAX_MESH_DAEMONS;
  }

  get #strategy(): LoadSharingStrategy {
    return this.#strategies[this.#isSmallFleet ? 'mesh' : 'sums'];
  }

  #receive(bytes: Buffer, host: string): void {
    const kind = dispatchDatagram(this.#handlers, { value: parseDatagram(bytes), bytes, host });
    this.#options.meter.countDatagram(kind, 'received');
  }

  #receiveJoin(message: JoinMessage, datagram: ReceivedDatagram): void {
    this.#joinProtocol.receive(message, performance.now());
    if (message.kind === 'table') {
      this.#tables.receiveTable(message.table, datagram);
    }
  }

  #receiveLoads(datagram: LoadDatagram): void {
    const { message, host } = datagram;
    const { self } = this.#options.directory;
    if (message.vm !== self.vm) {
      const { vm, dataCentre, eraAge } = message;
      const nowMs = performance.now();
      if (eraAge !== undefined) {
        this.#options.readerRegistry.observeEra(eraAge.era, vm, eraAge.ageMs);
      }
      // A forwarded datagram does not come from the address of its original sender.
      if (this.#options.directory.find(vm) === undefined && message.scope !== 'dataCentre') {
        this.#roster.record({ vm, dataCentre, host, port: self.port }, nowMs);
      }
      this.#strategy.receive(datagram, nowMs);
    }
  }

  #scheduleTick(nowMs: number): void {
    const { tickMs } = this.#strategy;
    this.#ticks += Math.ceil(tickMs / TICK_MS);
    this.#dueAtMs = nowMs + tickMs;
    this.#timer = setTimeout(() => this.#tick(), tickMs);
  }

  #tick(): void {
    const nowMs = performance.now();
    if (nowMs - this.#dueAtMs > PAUSE_THRESHOLD_MS) {
      this.#strategies.sums.handlePause(nowMs);
    }
    this.#options.loads.evictSilent(nowMs);
    this.#strategy.tick(this.#ticks, nowMs);
    if (nowMs - this.#rosterSentAtMs >= ROSTER_INTERVAL_MS) {
      this.#rosterSentAtMs = nowMs;
      this.#sendRoster(nowMs);
    }
    this.#scheduleTick(nowMs);
  }

  #sendRoster(nowMs: number): void {
    this.#roster.removeExpired(nowMs);
    const peer = this.#options.directory.pickAny();
    const message: JoinMessage = { kind: 'roster', roster: this.#roster.list(nowMs) };
    this.#messenger.sendIfEncoded(peer === undefined ? [] : [peer], encodeJoinMessage(message));
  }
}

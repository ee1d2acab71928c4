/** All that a daemon tells the others and hears of them, by datagrams. */
import type { Logger, Random } from '@snipehaven/common';
import type { StoreClock } from '../configuration/storeClock.js';
import type { SnapshotSource, TableSnapshot } from '../store/types.js';
import type { SocketAddress } from '../types.js';
import { encodeCrashNews, type CrashNews } from './crashMessage.js';
import { ChangesRelay } from './changesRelay.js';
import { parseDatagram } from './datagram.js';
import { createTakers, takeDatagram, type DatagramTaker } from './datagramTakers.js';
import type { DatagramPort } from './datagramPort.js';
import { encodeJoinMessage, type JoinMessage } from './joinMessages.js';
import { Joining } from './joining.js';
import type { Learned } from './learned.js';
import type { UpstreamLoad } from './loadMessage.js';
import { MeshScheme } from './meshScheme.js';
import { SMALL_FLEET, type NewsBoard } from './newsBoard.js';
import type { Peer, PeerDirectory } from './peerDirectory.js';
import type { PeerLoads } from './peerLoads.js';
import { PeerMessenger, type DatagramMeter } from './peerMessenger.js';
import { READER_ORDER, WRITER_ORDER } from './peerOrder.js';
import { Roster } from './roster.js';
import { SumScheme } from './sumScheme.js';
import { TICK_MS, type LoadDatagram, type TellingScheme } from './tellingScheme.js';
import { encodeBadVersion, type BadVersionNews } from './verdictMessage.js';

export interface PeerExchangeOptions {
  readonly directory: PeerDirectory;
  readonly loads: PeerLoads;
  readonly board: NewsBoard;
  readonly port: DatagramPort;
  readonly clock: StoreClock;
  readonly logger: Logger;
  readonly random: Random;
  readonly meter: DatagramMeter;
  /** Tells this process from an earlier one of the same VM. */
  readonly processId: number;
  /** Daemons that the settings name; they may be gone. */
  readonly seeds: readonly SocketAddress[];
  readOwnLoads(): ReadonlyMap<string, UpstreamLoad>;
  readOwnLearned(): Learned;
  /** What this daemon knows of the store's tables. */
  listSnapshots(): readonly TableSnapshot[];
  /** Another daemon told of upstreams that ended. */
  takeCrashNews(news: CrashNews): void;
  /** Another daemon judged a version bad. */
  takeBadVersion(news: BadVersionNews): void;
}

/**
 * Work that is told at once instead of at the next tick: a tenth of a second of an engine. Until it is
 * known, other daemons see an idle engine and send their long prompts there too.
 */
const LARGE_WORK = 4_000;

/** A tick that comes later than this after it was due: the VM stood still. */
const PAUSE_MS = 3 * TICK_MS;

/**
 * News of upstreams that ended are told twice: nobody asks for one that was lost. The second comes when a
 * squeezed link has had time to empty.
 */
const TELL_AGAIN_MS = 200;

/** Between lists of daemons; one of 400 packs to some 5 KB. */
const ROSTER_MS = 3_000;

type SchemeName = 'mesh' | 'sums';

export class PeerExchange implements SnapshotSource {
  readonly #options: PeerExchangeOptions;

  readonly #messenger: PeerMessenger;

  readonly #schemes: Readonly<Record<SchemeName, TellingScheme>>;

  readonly #roster: Roster;

  readonly #joining: Joining;

  readonly #relay: ChangesRelay;

  readonly #takers: readonly DatagramTaker[] = createTakers({
    loads: (datagram) => this.#takeLoad(datagram),
    changes: (changes, { bytes, host }) => this.#relay.take(changes, bytes, host),
    joining: (message) => this.#joining.take(message, performance.now()),
    crashes: (news) => this.#options.takeCrashNews(news),
    badVersion: (news) => this.#options.takeBadVersion(news),
  });

  #timer: NodeJS.Timeout | undefined;

  /** Steps of `TICK_MS` since the start. */
  #ticks = 0;

  #dueAtMs = 0;

  #toldRosterAtMs = 0;

  /** Requests that still run may tell of their upstreams after the port is closed. */
  #isStopped = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    const { directory, processId, port, board } = options;
    const messenger = new PeerMessenger(directory.self, processId, port, options.meter);
    this.#messenger = messenger;
    this.#roster = new Roster(directory);
    this.#joining = new Joining({ ...options, messenger, roster: this.#roster });
    this.#relay = new ChangesRelay(directory, board, messenger);
    const context = { ...options, messenger };
    this.#schemes = {
      mesh: new MeshScheme(context),
      sums: new SumScheme(context, performance.now()),
    };
  }

  async start(): Promise<void> {
    const { port, board } = this.#options;
    await port.open((bytes, host) => this.#take(bytes, host));
    board.onOwnChanges((changes) => {
      this.#relay.passOn(changes);
      this.#scheme.tellNews(performance.now());
    });
    const nowMs = performance.now();
    this.#toldRosterAtMs = nowMs;
    this.#scheduleTick(nowMs);
    this.#joining.start();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#joining.stop();
    this.#options.port.close();
  }

  /** Daemons known, this one among them. */
  get daemons(): number {
    return this.#options.directory.daemons;
  }

  get isAcquainted(): boolean {
    return this.#joining.isAcquainted(performance.now());
  }

  /** How many daemons come before this one in the order of the key. */
  countBefore(key: string): number {
    return this.#options.directory.countBefore(key);
  }

  /**
   * How many daemons come before this one to read the store: in the region, or twice as many as in its
   * data centre, so that one that is cut off has its own first ones. Of a small fleet all read at once.
   * Undefined while the daemon settles and leaves the reading to others. Lost readers are skipped,
   * so that no daemon waits for their turn.
   */
  getReaderRank(lostReaders: ReadonlySet<string> = new Set()): number | undefined {
    if (this.#joining.isSettling(performance.now())) {
      return undefined;
    }
    const { directory } = this.#options;
    const { vm } = directory.self;
    const isCandidate = (other: string): boolean => other === vm || !lostReaders.has(other);
    const rank = directory.rank(READER_ORDER).filter(isCandidate).indexOf(vm);
    const localRank = directory.rankLocal(READER_ORDER).filter(isCandidate).indexOf(vm);
    return this.#isSmallFleet ? 0 : Math.min(rank, 2 * localRank);
  }

  /** Whether this daemon is the one that counts what must be counted once. */
  get isFirstWriter(): boolean {
    const { directory } = this.#options;
    return directory.rank(WRITER_ORDER)[0] === directory.self.vm;
  }

  /** How many daemons come before this one to write of roll-outs; undefined in a small fleet. */
  get writerRank(): number | undefined {
    const { directory } = this.#options;
    const rank = directory.rank(WRITER_ORDER).indexOf(directory.self.vm);
    return this.#isSmallFleet ? undefined : rank;
  }

  waitForSnapshot(table: string): Promise<TableSnapshot | undefined> {
    return this.#joining.waitForSnapshot(table);
  }

  /**
   * Told to all daemons, however many: it is rare, and any of them may meet the request next. What comes by
   * way of others would be lost with them.
   */
  tellCrashes(news: CrashNews): void {
    const bytes = encodeCrashNews(news);
    const tell = (): void => {
      if (!this.#isStopped) {
        this.#messenger.sendTo(this.#options.directory.all, bytes);
      }
    };
    tell();
    setTimeout(tell, TELL_AGAIN_MS).unref();
  }

  /** Told to one daemon, drawn anew each time; who is told tells on, so that all know within seconds. */
  tellBadVersion(news: BadVersionNews): void {
    const peer = this.#options.directory.pickAny();
    if (peer !== undefined && !this.#isStopped) {
      this.#messenger.sendTo([peer], encodeBadVersion(news));
    }
  }

  /** This daemon has placed work. */
  noteWork(work: number): void {
    if (work >= LARGE_WORK) {
      this.#scheme.tellWork(performance.now());
    }
  }

  /** A daemon that the store names. */
  putPeer(peer: Peer): void {
    this.#roster.note(peer, performance.now());
  }

  get #isSmallFleet(): boolean {
    return this.daemons <= SMALL_FLEET;
  }

  get #scheme(): TellingScheme {
    return this.#schemes[this.#isSmallFleet ? 'mesh' : 'sums'];
  }

  #take(bytes: Buffer, host: string): void {
    const kind = takeDatagram(this.#takers, { value: parseDatagram(bytes), bytes, host });
    this.#options.meter.countDatagram(kind, 'received');
  }

  #takeLoad(datagram: LoadDatagram): void {
    const { message, host } = datagram;
    const { self } = this.#options.directory;
    if (message.vm !== self.vm) {
      const { vm, dataCentre } = message;
      const nowMs = performance.now();
      // Handed on, it comes from another host than its sender's.
      if (this.#options.directory.find(vm) === undefined && message.scope !== 'dataCentre') {
        this.#roster.note({ vm, dataCentre, host, port: self.port }, nowMs);
      }
      this.#scheme.take(datagram, nowMs);
    }
  }

  #scheduleTick(nowMs: number): void {
    const { tickMs } = this.#scheme;
    this.#ticks += tickMs / TICK_MS;
    this.#dueAtMs = nowMs + tickMs;
    this.#timer = setTimeout(() => this.#tick(), tickMs);
  }

  #tick(): void {
    const nowMs = performance.now();
    if (nowMs - this.#dueAtMs > PAUSE_MS) {
      this.#schemes.sums.notePause(nowMs);
    }
    this.#options.loads.dropSilent(nowMs);
    this.#scheme.tick(this.#ticks, nowMs);
    if (nowMs - this.#toldRosterAtMs >= ROSTER_MS) {
      this.#toldRosterAtMs = nowMs;
      this.#tellRoster(nowMs);
    }
    this.#scheduleTick(nowMs);
  }

  #tellRoster(nowMs: number): void {
    this.#roster.forgetGone(nowMs);
    const peer = this.#options.directory.pickAny();
    const message: JoinMessage = { kind: 'roster', roster: this.#roster.list(nowMs) };
    this.#messenger.sendPacked(peer === undefined ? [] : [peer], encodeJoinMessage(message));
  }
}

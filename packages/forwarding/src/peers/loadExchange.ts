/** Sends this daemon's work and news to the others by datagrams, and takes theirs. */
import type { Logger, Random } from '@snipehaven/common';
import { encodeChanges, restoreChanges, type TableChanges } from './changesMessage.js';
import { parseDatagram } from './datagram.js';
import type { DatagramPort } from './datagramPort.js';
import { restoreLoadMessage, type UpstreamLoad } from './loadMessage.js';
import { MeshScheme } from './meshScheme.js';
import { SMALL_FLEET, type NewsBoard } from './newsBoard.js';
import type { Peer, PeerDirectory } from './peerDirectory.js';
import type { PeerLoads } from './peerLoads.js';
import { PeerMessenger } from './peerMessenger.js';
import { SumScheme } from './sumScheme.js';
import { TICK_MS, type LoadDatagram, type TellingScheme } from './tellingScheme.js';

export interface LoadExchangeOptions {
  readonly directory: PeerDirectory;
  readonly loads: PeerLoads;
  readonly board: NewsBoard;
  readonly port: DatagramPort;
  readonly logger: Logger;
  readonly random: Random;
  /** Tells this process from an earlier one of the same VM. */
  readonly processId: number;
  readOwnLoads(): ReadonlyMap<string, UpstreamLoad>;
}

/**
 * Work that is told at once instead of at the next tick: a tenth of a second of an engine. Until it is
 * known, other daemons see an idle engine and send their long prompts there too.
 */
const LARGE_WORK = 4_000;

/** A tick that comes later than this after the last one: the VM stood still. */
const PAUSE_MS = 4 * TICK_MS;

type SchemeName = 'mesh' | 'sums';

export class LoadExchange {
  readonly #options: LoadExchangeOptions;

  readonly #messenger: PeerMessenger;

  readonly #schemes: Readonly<Record<SchemeName, TellingScheme>>;

  #timer: NodeJS.Timeout | undefined;

  #ticks = 0;

  #tickedAtMs = performance.now();

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    const { directory, processId, port } = options;
    this.#messenger = new PeerMessenger(directory.self, processId, port);
    const context = { ...options, messenger: this.#messenger };
    this.#schemes = {
      mesh: new MeshScheme(context),
      sums: new SumScheme(context, performance.now()),
    };
  }

  async start(): Promise<void> {
    const { port, board } = this.#options;
    await port.open((bytes, host) => this.#take(bytes, host));
    board.onOwnChanges((changes) => this.#passOn(changes));
    this.#tickedAtMs = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#options.port.close();
  }

  /** Daemons known, this one among them. */
  get daemons(): number {
    return this.#options.directory.daemons;
  }

  /** This daemon has placed work. */
  noteWork(work: number): void {
    if (work >= LARGE_WORK) {
      this.#scheme.tellWork(performance.now());
    }
  }

  putPeer(peer: Peer): void {
    this.#options.directory.put(peer);
  }

  get #isSmallFleet(): boolean {
    return this.daemons <= SMALL_FLEET;
  }

  get #scheme(): TellingScheme {
    return this.#schemes[this.#isSmallFleet ? 'mesh' : 'sums'];
  }

  #take(bytes: Buffer, host: string): void {
    const message = parseDatagram(bytes);
    const load = restoreLoadMessage(message);
    if (load !== undefined) {
      this.#takeLoad({ message: load, bytes, host });
      return;
    }
    const changes = restoreChanges(message);
    if (changes !== undefined) {
      this.#takeChanges(changes, bytes, host);
    }
  }

  #takeLoad(datagram: LoadDatagram): void {
    if (datagram.message.vm !== this.#options.directory.self.vm) {
      this.#scheme.take(datagram, performance.now());
    }
  }

  /** What is new here goes on to the data centre, where one daemon alone was told. */
  #takeChanges(changes: TableChanges, bytes: Buffer, host: string): void {
    const { board, directory } = this.#options;
    const isNew = board.takeChanges(changes);
    if (isNew && !this.#isSmallFleet && directory.isFar(host)) {
      this.#messenger.sendTo(directory.local, bytes);
    }
  }

  /** What a reader learns is told at once: the others ask the store for it only if they miss it. */
  #passOn(changes: TableChanges): void {
    const { directory } = this.#options;
    const bytes = encodeChanges(changes);
    if (bytes !== undefined) {
      const far = this.#isSmallFleet ? directory.all : [...directory.local, ...directory.pickFar()];
      this.#messenger.sendTo(far, bytes);
    }
    this.#scheme.tellNews(performance.now());
  }

  #tick(): void {
    const nowMs = performance.now();
    if (nowMs - this.#tickedAtMs > PAUSE_MS) {
      this.#schemes.sums.notePause(nowMs);
    }
    this.#tickedAtMs = nowMs;
    this.#ticks += 1;
    this.#options.loads.dropSilent(nowMs);
    this.#scheme.tick(this.#ticks, nowMs);
  }
}

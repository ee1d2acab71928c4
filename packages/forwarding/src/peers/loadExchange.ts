/** Sends this daemon's work and news to the others by datagrams, and takes theirs. */
import { createSocket, type Socket } from 'node:dgram';
import { getErrorMessage, type Logger, type Random } from '@snipehaven/common';
import { encodeChanges, restoreChanges, type TableChanges } from './changesMessage.js';
import { parseDatagram } from './datagram.js';
import { encodeLoadMessage, restoreLoadMessage, type UpstreamLoad } from './loadMessage.js';
import { SMALL_FLEET, type NewsBoard } from './newsBoard.js';
import { PeerDirectory, type Peer } from './peerDirectory.js';
import type { PeerLoads } from './peerLoads.js';

export interface LoadExchangeOptions {
  readonly self: Peer;
  readonly loads: PeerLoads;
  readonly board: NewsBoard;
  readonly logger: Logger;
  readonly random: Random;
  /** Tells this process from an earlier one of the same VM. */
  readonly processId: number;
  readOwnLoads(): ReadonlyMap<string, UpstreamLoad>;
}

/** A prompt of usual length is read in about this time: news older than that is of little use. */
const TICK_MS = 150;

/**
 * Bytes between data centres cost, and work there matters only when the local upstreams are full. In a large
 * fleet only sums cross: with each of 64 daemons telling each far one, 18 MB crossed on a calm day, though
 * they told it so seldom that it was out of date for most of the time; with sums 10 MB.
 */
const REMOTE_TICKS = 4;

/** With many peers each hears from all of them: news come more slowly, at a bounded cost. */
const PEERS_PER_TICK = 16;

/** Even with nothing to tell, so that peers know that we live. */
const IDLE_TICKS = 6;

/**
 * Work that is told to the data centre at once instead of at the next tick: a tenth of a second of an engine.
 * Until it is known, other daemons see an idle engine and send their long prompts there too.
 */
const LARGE_WORK = 4_000;

const getSlowness = (peers: number): number => Math.max(1, Math.ceil(peers / PEERS_PER_TICK));

export class LoadExchange {
  readonly #options: LoadExchangeOptions;

  readonly #socket: Socket = createSocket('udp4');

  readonly #directory: PeerDirectory;

  #timer: NodeJS.Timeout | undefined;

  #ticks = 0;

  #sequence = 0;

  #lastSent = '';

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#directory = new PeerDirectory(options.self, options.random);
  }

  async start(): Promise<void> {
    const { self, board, logger } = this.#options;
    this.#socket.on('message', (bytes, { address }) => this.#take(bytes, address));
    this.#socket.on('error', (error) => {
      logger.warn({ event: 'loadExchangeFailed', cause: getErrorMessage(error) });
    });
    await new Promise<void>((resolve) => {
      this.#socket.bind(self.port, self.host, resolve);
    });
    board.onOwnChanges((changes) => this.#passOn(changes));
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#socket.close();
  }

  /** Daemons known, this one among them. */
  get daemons(): number {
    return this.#directory.daemons;
  }

  /** This daemon has placed work. */
  noteWork(work: number): void {
    if (work >= LARGE_WORK) {
      this.#send(this.#options.readOwnLoads(), false);
    }
  }

  putPeer(peer: Peer): void {
    this.#directory.put(peer);
  }

  get #isSmallFleet(): boolean {
    return this.daemons <= SMALL_FLEET;
  }

  #take(bytes: Buffer, host: string): void {
    const { loads, board } = this.#options;
    const message = parseDatagram(bytes);
    const load = restoreLoadMessage(message);
    if (load !== undefined && load.vm !== this.#directory.self.vm) {
      loads.take(load, performance.now());
      if (!load.isSum) {
        board.take(load, performance.now());
      }
    }
    const changes = restoreChanges(message);
    const isNew = changes !== undefined && board.takeChanges(changes);
    const concernsAll = isNew || load?.isSum === true;
    if (concernsAll && !this.#isSmallFleet && this.#directory.isFar(host)) {
      this.#sendTo(this.#directory.local, bytes);
    }
  }

  /** What a reader learns is told at once: the others ask the store for it only if they miss it. */
  #passOn(changes: TableChanges): void {
    const bytes = encodeChanges(changes);
    if (bytes !== undefined) {
      this.#sendTo(this.#listHearers(this.#isSmallFleet), bytes);
      this.#sendTo(this.#isSmallFleet ? [] : this.#directory.pickFar(), bytes);
    }
    this.#send(this.#options.readOwnLoads(), this.#isSmallFleet);
  }

  #listHearers(isRemoteToo: boolean): readonly Peer[] {
    return isRemoteToo ? this.#directory.all : this.#directory.local;
  }

  #sendTo(peers: readonly Peer[], bytes: Buffer): void {
    peers.forEach(({ port, host }) => this.#socket.send(bytes, port, host));
  }

  #tick(): void {
    this.#ticks += 1;
    this.#options.loads.dropSilent(performance.now());
    const isRemoteDue = this.#ticks % REMOTE_TICKS === 0;
    if (isRemoteDue && !this.#isSmallFleet) {
      this.#tellSum();
    }
    if (this.#ticks % getSlowness(this.#directory.local.length) === 0) {
      this.#tellLoads(isRemoteDue && this.#isSmallFleet);
    }
  }

  #tellLoads(isRemoteToo: boolean): void {
    const loads = this.#options.readOwnLoads();
    const content = JSON.stringify([[...loads], this.#options.board.own]);
    const isIdle = content === this.#lastSent && this.#ticks % IDLE_TICKS !== 0;
    if (!isIdle || isRemoteToo) {
      this.#lastSent = content;
      this.#send(loads, isRemoteToo);
    }
  }

  #send(loads: ReadonlyMap<string, UpstreamLoad>, isRemoteToo: boolean): void {
    const news = this.#options.board.own;
    const bytes = encodeLoadMessage({ ...this.#stamp(this.#directory.self.vm), loads, news });
    this.#sendTo(this.#listHearers(isRemoteToo), bytes);
  }

  /** What the data centre has at the upstreams goes to one daemon of each other one, who tells it there. */
  #tellSum(): void {
    const { loads, readOwnLoads } = this.#options;
    if (!this.#directory.isTeller((vm) => loads.isHeard(vm))) {
      return;
    }
    const { dataCentre } = this.#directory.self;
    const sums = loads.sumUp(dataCentre, readOwnLoads());
    const message = { ...this.#stamp(dataCentre), loads: sums, news: [], isSum: true };
    this.#sendTo(this.#directory.pickFar(), encodeLoadMessage(message));
  }

  #stamp(vm: string) {
    this.#sequence += 1;
    const { dataCentre } = this.#directory.self;
    return { vm, dataCentre, process: this.#options.processId, sequence: this.#sequence };
  }
}

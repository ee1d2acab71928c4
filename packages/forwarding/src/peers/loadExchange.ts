/** Sends this daemon's work and news to the others by datagrams, and takes theirs. */
import { createSocket, type Socket } from 'node:dgram';
import { getErrorMessage, pickRandom, type Logger, type Random } from '@snipehaven/common';
import { encodeChanges, restoreChanges, type TableChanges } from './changesMessage.js';
import {
  encodeLoadMessage,
  restoreLoadMessage,
  type LoadMessage,
  type UpstreamLoad,
} from './loadMessage.js';
import { SMALL_FLEET, type NewsBoard } from './newsBoard.js';
import { parseDatagram } from './parseDatagram.js';
import type { PeerLoads } from './peerLoads.js';

export interface Peer {
  readonly vm: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
}

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

/** Bytes between data centres cost, and work there matters only when the local upstreams are full. */
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

  readonly #peers = new Map<string, Peer>();

  #timer: NodeJS.Timeout | undefined;

  #ticks = 0;

  #sequence = 0;

  #lastSent = '';

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
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
    return this.#peers.size + 1;
  }

  /** This daemon has placed work. */
  noteWork(work: number): void {
    if (work >= LARGE_WORK) {
      this.#send(this.#options.readOwnLoads(), false);
    }
  }

  putPeer(peer: Peer): void {
    if (peer.vm !== this.#options.self.vm) {
      this.#peers.set(peer.vm, peer);
    }
  }

  #take(bytes: Buffer, host: string): void {
    const { self, loads, board } = this.#options;
    const message = parseDatagram(bytes);
    const load = restoreLoadMessage(message);
    if (load !== undefined && load.vm !== self.vm) {
      loads.take(load, performance.now());
      board.take(load, performance.now());
    }
    const changes = restoreChanges(message);
    if (changes !== undefined && board.takeChanges(changes) && this.#isFarFleetMember(host)) {
      this.#sendTo(this.#listPeers(false), bytes);
    }
  }

  /** A daemon of another data centre in a fleet too large for everyone to tell everyone. */
  #isFarFleetMember(host: string): boolean {
    const sender = [...this.#peers.values()].find((peer) => peer.host === host);
    const isFar = sender !== undefined && sender.dataCentre !== this.#options.self.dataCentre;
    return isFar && this.daemons > SMALL_FLEET;
  }

  /** What a reader learns is told at once: the others ask the store for it only if they miss it. */
  #passOn(changes: TableChanges): void {
    const isRemoteToo = this.daemons <= SMALL_FLEET;
    const bytes = encodeChanges(changes);
    if (bytes !== undefined) {
      this.#sendTo(this.#listPeers(isRemoteToo), bytes);
      this.#sendTo(isRemoteToo ? [] : this.#pickFarPeers(), bytes);
    }
    this.#send(this.#options.readOwnLoads(), isRemoteToo);
  }

  /**
   * One of each other data centre, drawn anew each time: where its readers are cut off from the store it
   * alone tells the others, and whoever is drawn may be cut off too.
   */
  #pickFarPeers(): readonly Peer[] {
    const { self, random } = this.#options;
    const groups = new Map<string, Peer[]>();
    for (const peer of this.#peers.values()) {
      if (peer.dataCentre !== self.dataCentre) {
        groups.set(peer.dataCentre, [...(groups.get(peer.dataCentre) ?? []), peer]);
      }
    }
    return [...groups.values()].flatMap((group) => pickRandom(group, random) ?? []);
  }

  #listPeers(isRemoteToo: boolean): readonly Peer[] {
    const { dataCentre } = this.#options.self;
    return [...this.#peers.values()].filter(
      (peer) => isRemoteToo || peer.dataCentre === dataCentre,
    );
  }

  #sendTo(peers: readonly Peer[], bytes: Buffer): void {
    peers.forEach(({ port, host }) => this.#socket.send(bytes, port, host));
  }

  #tick(): void {
    this.#ticks += 1;
    this.#options.loads.dropSilent(performance.now());
    const localSlowness = getSlowness(this.#listPeers(false).length);
    if (this.#ticks % localSlowness !== 0) {
      return;
    }
    const remoteTicks = REMOTE_TICKS * getSlowness(this.#peers.size);
    const isRemoteDue = Math.floor(this.#ticks / localSlowness) % remoteTicks === 0;
    const loads = this.#options.readOwnLoads();
    const content = JSON.stringify([[...loads], this.#options.board.own]);
    const isIdle = content === this.#lastSent && this.#ticks % IDLE_TICKS !== 0;
    if (!isIdle || isRemoteDue) {
      this.#lastSent = content;
      this.#send(loads, isRemoteDue);
    }
  }

  #send(loads: ReadonlyMap<string, UpstreamLoad>, isRemoteDue: boolean): void {
    const { self, processId } = this.#options;
    this.#sequence += 1;
    const message: LoadMessage = {
      vm: self.vm,
      dataCentre: self.dataCentre,
      process: processId,
      sequence: this.#sequence,
      loads,
      news: this.#options.board.own,
    };
    const bytes = encodeLoadMessage(message);
    this.#sendTo(this.#listPeers(isRemoteDue), bytes);
  }
}

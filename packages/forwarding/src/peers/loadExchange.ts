/** Sends this daemon's work and news to the others by datagrams, and takes theirs. */
import { createSocket, type Socket } from 'node:dgram';
import { getErrorMessage, type Logger } from '@snipehaven/common';
import {
  decodeLoadMessage,
  encodeLoadMessage,
  type LoadMessage,
  type UpstreamLoad,
} from './loadMessage.js';
import type { NewsBoard } from './newsBoard.js';
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
    const { self, loads, board, logger } = this.#options;
    this.#socket.on('message', (bytes) => {
      const message = decodeLoadMessage(bytes);
      if (message !== undefined && message.vm !== self.vm) {
        loads.take(message, performance.now());
        board.take(message, performance.now());
      }
    });
    this.#socket.on('error', (error) => {
      logger.warn({ event: 'loadExchangeFailed', cause: getErrorMessage(error) });
    });
    await new Promise<void>((resolve) => {
      this.#socket.bind(self.port, self.host, resolve);
    });
    // A change is told at once: others ask the store for it only then.
    board.onOwnChange(() => this.#send(this.#options.readOwnLoads(), true));
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

  putPeer(peer: Peer): void {
    if (peer.vm !== this.#options.self.vm) {
      this.#peers.set(peer.vm, peer);
    }
  }

  #tick(): void {
    this.#ticks += 1;
    this.#options.loads.dropSilent(performance.now());
    const slowness = Math.ceil(this.#peers.size / PEERS_PER_TICK);
    if (this.#ticks % Math.max(1, slowness) !== 0) {
      return;
    }
    const loads = this.#options.readOwnLoads();
    const content = JSON.stringify([[...loads], this.#options.board.own]);
    const isIdle = content === this.#lastSent && this.#ticks % IDLE_TICKS !== 0;
    if (!isIdle) {
      this.#lastSent = content;
      this.#send(loads, this.#ticks % (REMOTE_TICKS * Math.max(1, slowness)) === 0);
    }
  }

  #send(loads: ReadonlyMap<string, UpstreamLoad>, isRemoteDue: boolean): void {
    const { self, processId } = this.#options;
    this.#sequence += 1;
    const message: LoadMessage = {
      vm: self.vm,
      process: processId,
      sequence: this.#sequence,
      loads,
      news: this.#options.board.own,
    };
    const bytes = encodeLoadMessage(message);
    for (const peer of this.#peers.values()) {
      if (isRemoteDue || peer.dataCentre === self.dataCentre) {
        this.#socket.send(bytes, peer.port, peer.host);
      }
    }
  }
}

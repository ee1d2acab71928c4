/** Clients that keep no limits, on raw connections: what they send is bounded, what they read is nothing. */
import { connect, type Socket } from 'node:net';
import { sleep } from '@snipehaven/common';
import { HOST, KEY } from './standinDocuments.js';

/** Headers of a request that has a route and a key. */
export const VALID_HEADERS = `Host: ${HOST}\r\nAuthorization: Token ${KEY}\r\nX-Attempt-Id: hostile\r\n`;

const SETTLE_CHECK_MS = 100;
const CALM_CHECKS = 6;
const MAX_CHECKS = 300;
const RECONNECT_MS = 20;

interface Target {
  readonly host: string;
  readonly port: number;
}

/** All that one client sends. */
export type ClientScript = () => Iterable<Buffer>;

export interface CrowdOptions {
  /** Address from which the clients connect. */
  readonly localAddress?: string;
  /** Connects again until the first byte is sent; for a process that does not listen yet. */
  readonly isPersistent?: boolean;
}

const repeat = function* repeat(piece: Buffer, totalBytes: number): Iterable<Buffer> {
  for (let sentBytes = 0; sentBytes < totalBytes; sentBytes += piece.length) {
    yield piece.subarray(0, Math.min(piece.length, totalBytes - sentBytes));
  }
};

const PIECE_BYTES = 65_536;

/** Sends the head, and then the text again and again. */
export const sendRepeated = (head: string, text: string, totalBytes: number): ClientScript => {
  const times = Math.max(1, Math.floor(PIECE_BYTES / text.length));
  const piece = Buffer.from(text.repeat(times), 'latin1');
  return () => [Buffer.from(head, 'latin1'), ...repeat(piece, totalBytes)];
};

export const sendOnce =
  (text: string): ClientScript =>
  () => [Buffer.from(text, 'latin1')];

export class HostileCrowd {
  readonly #target: Target;

  readonly #options: CrowdOptions;

  readonly #sockets = new Set<Socket>();

  #handledBytes = 0;

  #isClosed = false;

  constructor(target: Target, options: CrowdOptions = {}) {
    this.#target = target;
    this.#options = options;
  }

  join(count: number, script: ClientScript): this {
    for (let index = 0; index < count; index += 1) {
      this.#connect(script);
    }
    return this;
  }

  /** Resolves when no client has got any further for a while: it is done, blocked or closed. */
  async settle(): Promise<void> {
    let calmChecks = 0;
    for (let check = 0; check < MAX_CHECKS && calmChecks < CALM_CHECKS; check += 1) {
      const before = this.#progress;
      await sleep(SETTLE_CHECK_MS);
      calmChecks = this.#progress === before ? calmChecks + 1 : 0;
    }
  }

  /** Ends the connections in order: what they have sent is still read. */
  leave(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  close(): void {
    this.#isClosed = true;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  get #progress(): string {
    return `${this.#sockets.size} ${this.#handledBytes}`;
  }

  #connect(script: ClientScript): void {
    const { localAddress, isPersistent = false } = this.#options;
    const socket = connect({ ...this.#target, ...(localAddress ? { localAddress } : {}) });
    let hasConnected = false;
    this.#sockets.add(socket);
    socket.pause();
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.#sockets.delete(socket);
      if (isPersistent && !hasConnected && !this.#isClosed) {
        setTimeout(() => this.#connect(script), RECONNECT_MS);
      }
    });
    socket.once('connect', () => {
      hasConnected = true;
      this.#send(socket, script()[Symbol.iterator]());
    });
  }

  #send(socket: Socket, pieces: Iterator<Buffer>): void {
    const next = pieces.next();
    if (next.done !== true && !socket.destroyed) {
      socket.write(next.value, () => {
        this.#handledBytes += next.value.length;
        this.#send(socket, pieces);
      });
    }
  }
}

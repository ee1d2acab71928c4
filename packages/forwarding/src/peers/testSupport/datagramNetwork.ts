/**
 * In-memory datagram network with delays, losses and partitions that measures the traffic of each
 * daemon.
 */
import type { Random } from '@snipehaven/common';
import type { DatagramPort } from '../datagramPort.js';
import type { Peer } from '../peerDirectory.js';

export interface NetworkOptions {
  readonly random: Random;
  readonly delayMs: number;
  /** Share of datagrams that are lost, 0 to 1. */
  readonly lossShare: number;
}

export interface Traffic {
  sent: number;
  received: number;
  receivedBytes: number;
}

type DatagramListener = (bytes: Buffer, host: string) => void;

export class DatagramNetwork {
  readonly #options: NetworkOptions;

  readonly #listeners = new Map<string, DatagramListener>();

  readonly #down = new Set<string>();

  /** Data centres that are disconnected from all others. */
  readonly #cut = new Set<string>();

  readonly #dataCentres = new Map<string, string>();

  readonly #traffic = new Map<string, Traffic>();

  constructor(options: NetworkOptions) {
    this.#options = options;
  }

  /** Traffic of each daemon. */
  get traffic(): readonly Traffic[] {
    return [...this.#traffic.values()];
  }

  clearTraffic(): void {
    this.#traffic.clear();
  }

  /** Disconnects the host completely. */
  setDown(host: string, isDown: boolean): void {
    if (isDown) {
      this.#down.add(host);
    } else {
      this.#down.delete(host);
    }
  }

  setCut(dataCentre: string, isCut: boolean): void {
    if (isCut) {
      this.#cut.add(dataCentre);
    } else {
      this.#cut.delete(dataCentre);
    }
  }

  createPort(self: Peer): DatagramPort {
    this.#dataCentres.set(self.host, self.dataCentre);
    let isClosed = false;
    return {
      open: (listener) => {
        this.#listeners.set(self.host, listener);
        return Promise.resolve();
      },
      send: (bytes, { host }) => {
        if (!isClosed) {
          this.#send(bytes, self.host, host);
        }
      },
      close: () => {
        isClosed = true;
        this.#listeners.delete(self.host);
      },
    };
  }

  #send(bytes: Buffer, from: string, to: string): void {
    const { random, delayMs, lossShare } = this.#options;
    this.#getTraffic(from).sent += 1;
    if (this.#isBlocked(from, to) || random.next() < lossShare) {
      return;
    }
    setTimeout(() => this.#deliver(bytes, from, to), delayMs * (0.5 + random.next()));
  }

  #deliver(bytes: Buffer, from: string, to: string): void {
    const listener = this.#listeners.get(to);
    if (listener === undefined || this.#isBlocked(from, to)) {
      return;
    }
    const traffic = this.#getTraffic(to);
    traffic.received += 1;
    traffic.receivedBytes += bytes.length;
    listener(bytes, from);
  }

  #isBlocked(from: string, to: string): boolean {
    const fromCentre = this.#dataCentres.get(from) ?? '';
    const toCentre = this.#dataCentres.get(to) ?? '';
    const isCutOff =
      fromCentre !== toCentre && [fromCentre, toCentre].some((one) => this.#cut.has(one));
    return isCutOff || this.#down.has(from) || this.#down.has(to);
  }

  #getTraffic(host: string): Traffic {
    const known = this.#traffic.get(host) ?? { sent: 0, received: 0, receivedBytes: 0 };
    this.#traffic.set(host, known);
    return known;
  }
}

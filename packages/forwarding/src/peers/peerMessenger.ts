/** Sends this daemon's messages to others, each with its origin and number. */
import { encodeLoadMessage, type LoadMessage } from './loadMessage.js';
import type { DatagramPort } from './datagramPort.js';
import type { SocketAddress } from '../types.js';
import type { Peer } from './peerDirectory.js';

export type MessageContent = Omit<LoadMessage, 'vm' | 'dataCentre' | 'process' | 'sequence'>;

export class PeerMessenger {
  readonly #self: Peer;

  readonly #processId: number;

  readonly #port: DatagramPort;

  #sequence = 0;

  constructor(self: Peer, processId: number, port: DatagramPort) {
    this.#self = self;
    this.#processId = processId;
    this.#port = port;
  }

  tell(peers: readonly Peer[], content: MessageContent): void {
    this.#sequence += 1;
    const { vm, dataCentre } = this.#self;
    const origin = { vm, dataCentre, process: this.#processId, sequence: this.#sequence };
    this.sendTo(peers, encodeLoadMessage({ ...origin, ...content }));
  }

  sendTo(addresses: readonly SocketAddress[], bytes: Buffer): void {
    addresses.forEach((address) => this.#port.send(bytes, address));
  }

  /** Undefined bytes: the message was too large, nothing is sent. */
  sendPacked(addresses: readonly SocketAddress[], bytes: Buffer | undefined): void {
    if (bytes !== undefined) {
      this.sendTo(addresses, bytes);
    }
  }
}

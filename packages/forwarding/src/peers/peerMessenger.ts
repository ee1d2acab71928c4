/**
 * Sends messages to other daemons and adds origin, sequence number and the age of the store's era to
 * load messages.
 */
import type { StoreEra } from '../store/storeEra.js';
import { encodeLoadMessage, type LoadMessage } from './loadMessage.js';
import type { DatagramPort } from './datagramPort.js';
import type { SocketAddress } from '../types.js';
import type { Peer } from './peerDirectory.js';

export type MessageContent = Omit<
  LoadMessage,
  'vm' | 'dataCentre' | 'process' | 'sequence' | 'eraAge'
>;

/**
 * Counts datagrams: sent ones under one kind, received ones by the scope of their loads or by
 * message type.
 */
export interface DatagramMeter {
  countDatagram(kind: string, direction: 'sent' | 'received'): void;
}

export class PeerMessenger {
  readonly #self: Peer;

  readonly #processId: number;

  readonly #port: DatagramPort;

  readonly #meter: DatagramMeter;

  readonly #storeEra: Pick<StoreEra, 'toldAge'>;

  #sequence = 0;

  /** `processId` distinguishes this process from earlier ones of the same VM. */
  constructor(
    self: Peer,
    processId: number,
    port: DatagramPort,
    meter: DatagramMeter,
    storeEra: Pick<StoreEra, 'toldAge'>,
  ) {
    this.#self = self;
    this.#processId = processId;
    this.#port = port;
    this.#meter = meter;
    this.#storeEra = storeEra;
  }

  sendLoadMessage(peers: readonly Peer[], content: MessageContent): void {
    this.#sequence += 1;
    const { vm, dataCentre } = this.#self;
    const origin = { vm, dataCentre, process: this.#processId, sequence: this.#sequence };
    const { toldAge } = this.#storeEra;
    const eraAge = toldAge === undefined ? {} : { eraAge: toldAge };
    this.sendTo(peers, encodeLoadMessage({ ...origin, ...content, ...eraAge }));
  }

  sendTo(addresses: readonly SocketAddress[], bytes: Buffer): void {
    addresses.forEach((address) => {
      this.#port.send(bytes, address);
      this.#meter.countDatagram('any', 'sent');
    });
  }

  /** Undefined bytes stand for a message that was too large; nothing is sent. */
  sendIfEncoded(addresses: readonly SocketAddress[], bytes: Buffer | undefined): void {
    if (bytes !== undefined) {
      this.sendTo(addresses, bytes);
    }
  }
}

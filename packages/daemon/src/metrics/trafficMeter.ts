/** Counts the bytes on the process's TCP connections, HTTP headers included, by who is at the other end. */
import { subscribe, unsubscribe, type ChannelListener } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Channel of Node on which each accepted connection appears. */
const ACCEPTED_CHANNEL = 'net.server.socket';
/** Channel of undici on which each opened connection appears. */
const CONNECTED_CHANNEL = 'undici:client:connected';

export const trafficKinds = ['peers', 'platform', 'upstreams'] as const;
export type TrafficKind = (typeof trafficKinds)[number];

/** Tells whose connections they are; undefined: not counted. */
export interface TrafficClassifier {
  /** `host:port` as in the URL that was connected to. */
  classifyConnected(host: string): TrafficKind | undefined;
  classifyAccepted(localPort: number): TrafficKind | undefined;
}

interface ConnectedMessage {
  readonly connectParams: { readonly host: string };
  readonly socket: Socket;
}

interface Tally {
  readonly open: Set<Socket>;
  closedBytes: number;
}

const createTally = (): Tally => ({ open: new Set(), closedBytes: 0 });

const countBytes = (socket: Socket): number => socket.bytesRead + socket.bytesWritten;

export class TrafficMeter {
  readonly #classifier: TrafficClassifier;

  readonly #tallies: Readonly<Record<TrafficKind, Tally>> = {
    peers: createTally(),
    platform: createTally(),
    upstreams: createTally(),
  };

  readonly #noteConnected: ChannelListener = (message) => {
    const { connectParams, socket } = message as ConnectedMessage;
    this.#track(socket, this.#classifier.classifyConnected(connectParams.host));
  };

  readonly #noteAccepted: ChannelListener = (message) => {
    const { socket } = message as { readonly socket: Socket };
    this.#track(socket, this.#classifier.classifyAccepted(socket.localPort ?? 0));
  };

  constructor(classifier: TrafficClassifier) {
    this.#classifier = classifier;
  }

  start(): void {
    subscribe(CONNECTED_CHANNEL, this.#noteConnected);
    subscribe(ACCEPTED_CHANNEL, this.#noteAccepted);
  }

  stop(): void {
    unsubscribe(CONNECTED_CHANNEL, this.#noteConnected);
    unsubscribe(ACCEPTED_CHANNEL, this.#noteAccepted);
  }

  /** Bytes sent and received on all connections of the kind, open and closed. */
  getBytes(kind: TrafficKind): number {
    const { open, closedBytes } = this.#tallies[kind];
    return [...open].reduce((sum, socket) => sum + countBytes(socket), closedBytes);
  }

  #track(socket: Socket, kind: TrafficKind | undefined): void {
    if (kind === undefined) {
      return;
    }
    const tally = this.#tallies[kind];
    tally.open.add(socket);
    socket.once('close', () => {
      tally.open.delete(socket);
      tally.closedBytes += countBytes(socket);
    });
  }
}

/** Exchanges of many daemons in one process, over a network in memory and a faked clock. */
import type { Clock } from '@sinonjs/fake-timers';
import { createRandom, createSilentLogger } from '@snipehaven/common';
import { LoadExchange } from '../loadExchange.js';
import type { UpstreamLoad } from '../loadMessage.js';
import { NewsBoard } from '../newsBoard.js';
import { PeerDirectory, type Peer } from '../peerDirectory.js';
import { PeerLoads } from '../peerLoads.js';
import { DatagramNetwork, type Traffic } from './datagramNetwork.js';

export interface FleetMember {
  readonly self: Peer;
  readonly directory: PeerDirectory;
  readonly loads: PeerLoads;
  readonly board: NewsBoard;
  readonly exchange: LoadExchange;
  /** What it has at upstreams now; the fleet's owner changes it. */
  readonly own: Map<string, UpstreamLoad>;
}

export interface FleetOptions {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly lossShare?: number;
  readonly seed?: number;
}

/** One way between two daemons of a region. */
const DELAY_MS = 1;

const SEED = 1;

const createSelf = (index: number, dataCentres: number): Peer => ({
  vm: `vm-${index}`,
  dataCentre: `dc-${index % dataCentres}`,
  host: `10.0.0.${index}`,
  port: 7_000,
});

export class DaemonFleet {
  readonly network: DatagramNetwork;

  readonly members: readonly FleetMember[];

  readonly #clock: Clock;

  constructor(clock: Clock, { daemons, dataCentres, lossShare = 0, seed = SEED }: FleetOptions) {
    this.#clock = clock;
    this.network = new DatagramNetwork({
      random: createRandom(seed),
      delayMs: DELAY_MS,
      lossShare,
    });
    const selves = Array.from({ length: daemons }, (_, index) => createSelf(index, dataCentres));
    this.members = selves.map((self, index) => this.#createMember(self, seed + index));
    this.members.forEach(({ directory }) => selves.forEach((peer) => directory.put(peer)));
  }

  /** Starts them one after another within a second, as timers of real daemons do not tick together. */
  async start(): Promise<void> {
    const gapMs = 1_000 / this.members.length;
    for (const { exchange } of this.members) {
      await exchange.start();
      this.#clock.tick(gapMs);
    }
  }

  stop(): void {
    this.members.forEach(({ exchange }) => exchange.stop());
  }

  /** In the mean over daemons and seconds. */
  measureTraffic(durationMs: number): Traffic {
    this.network.clearTraffic();
    this.#clock.tick(durationMs);
    const scale = 1_000 / durationMs / this.members.length;
    const add = (field: keyof Traffic): number =>
      this.network.traffic.reduce((sum, traffic) => sum + traffic[field], 0) * scale;
    return { sent: add('sent'), received: add('received'), receivedBytes: add('receivedBytes') };
  }

  #createMember(self: Peer, seed: number): FleetMember {
    const random = createRandom(seed);
    const directory = new PeerDirectory(self, random);
    const loads = new PeerLoads();
    const board = new NewsBoard(self.vm, self.dataCentre);
    const own = new Map<string, UpstreamLoad>();
    const exchange = new LoadExchange({
      directory,
      loads,
      board,
      port: this.network.createPort(self),
      logger: createSilentLogger(),
      random,
      processId: seed,
      readOwnLoads: () => new Map(own),
    });
    return { self, directory, loads, board, exchange, own };
  }
}

/** Many daemons and a service of brittle upstreams in virtual time, over a network that loses datagrams. */
import type { Clock } from '@sinonjs/fake-timers';
import { createRandom, createSilentLogger, type Random } from '@snipehaven/common';
import { decodeBrittle, encodeBrittle } from '../../peers/brittleMessage.js';
import { parseDatagram } from '../../peers/datagram.js';
import { PeerDirectory, PeerLoads, type Peer } from '../../peers/index.js';
import { decodePlaceMessage, encodePlaceMessage } from '../../peers/placeMessage.js';
import { DatagramNetwork } from '../../peers/testSupport/datagramNetwork.js';
import type { Place } from '../../places/index.js';
import type { StatedBrittleness, Upstream } from '../../types.js';
import { UpstreamDirectory, type UpstreamEntry } from '../../upstreams/index.js';
import { PlaceCoordinator } from '../placeCoordinator.js';

const DATA_CENTRES = 3;
const SERVICE = 's';
const STEP_MS = 5;
const WINDOW_MS = 1_000;

/** Until a new process replaces one that fell over, and until the list drops the old one. */
const RESTART_DELAY_MS = 3_000;
const LIST_REMOVAL_DELAY_MS = 1_500;

/** A request that is silent for this long beyond its work goes elsewhere. */
const SILENCE_MS = 400;

/** A caller who was refused comes back once after this, or a quarter later. */
const RETRY_MS = 200;

/** Time until a daemon that has started lends places. */
const DISCOVERY_MS = 2_500;

export interface BrittleFleetOptions {
  readonly daemons: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly waitingPlaces: number;
  readonly workMs: number;
  readonly bearablePerS: number;
  readonly lossShare?: number;
  readonly seed?: number;
}

interface Arrival {
  readonly daemon: Daemon;
  readonly entry: UpstreamEntry;
  readonly place: Place | undefined;
  readonly sentAtMs: number;
  isGivenUp: boolean;
}

/** One process of an upstream. */
class SimulatedUpstream {
  readonly row: Upstream;

  readonly #fleet: BrittleFleet;

  readonly #waiting: Arrival[] = [];

  readonly #unread: Arrival[] = [];

  #running = 0;

  #turnedAwayAtMs: number[] = [];

  #isSilent = false;

  hasFallen = false;

  constructor(fleet: BrittleFleet, row: Upstream) {
    this.#fleet = fleet;
    this.row = row;
  }

  receive(arrival: Arrival): void {
    if (this.hasFallen) {
      arrival.place?.release('unused');
      this.#fleet.end(arrival, 'lost');
    } else if (this.#isSilent) {
      this.#unread.push(arrival);
    } else {
      this.#admit(arrival);
    }
  }

  silence(durationMs: number): void {
    this.#isSilent = true;
    setTimeout(() => {
      this.#isSilent = false;
      this.#unread.splice(0).forEach((one) => this.#admit(one));
    }, durationMs);
  }

  #admit(arrival: Arrival): void {
    const { slots, waitingPlaces } = this.#fleet.options;
    if (this.#running < slots) {
      this.#run(arrival);
    } else if (this.#waiting.length < waitingPlaces) {
      this.#waiting.push(arrival);
    } else {
      this.#turnAway(arrival);
    }
  }

  #run(arrival: Arrival): void {
    this.#running += 1;
    setTimeout(() => {
      this.#running -= 1;
      if (this.hasFallen) {
        return;
      }
      this.#fleet.end(arrival, 'served');
      const next = this.#waiting.shift();
      if (next !== undefined) {
        this.#run(next);
      }
    }, this.#fleet.options.workMs);
  }

  #turnAway(arrival: Arrival): void {
    const nowMs = performance.now();
    this.#turnedAwayAtMs = this.#turnedAwayAtMs.filter((atMs) => atMs > nowMs - WINDOW_MS);
    this.#turnedAwayAtMs.push(nowMs);
    this.#fleet.end(arrival, 'turnedAway');
    if (this.#turnedAwayAtMs.length > this.#fleet.options.bearablePerS) {
      this.hasFallen = true;
      this.#fleet.replace(this);
    }
  }
}

/** One process of a daemon. */
class Daemon {
  readonly self: Peer;

  readonly directory = new UpstreamDirectory(createSilentLogger(), new PeerLoads());

  readonly coordinator: PlaceCoordinator;

  constructor(
    fleet: BrittleFleet,
    network: DatagramNetwork,
    { self, peers, processId }: { self: Peer; peers: readonly Peer[]; processId: number },
  ) {
    this.self = self;
    const startedAtMs = performance.now();
    const known = new PeerDirectory(self, createRandom(processId));
    peers.forEach((peer) => known.put(peer));
    const port = network.createPort(self);
    this.coordinator = new PlaceCoordinator({
      logger: createSilentLogger(),
      metrics: { addGauge: () => {} },
      directory: this.directory,
      peers: known,
      processId,
      getExchange: () => ({
        broadcastBrittle: (news) =>
          known.all.forEach((peer) => port.send(encodeBrittle(news), peer)),
        sendPlaceMessage: (vm, message) => {
          const peer = known.find(vm);
          if (peer !== undefined) {
            port.send(encodePlaceMessage(message), peer);
          }
        },
        hasDiscoveredPeers: fleet.isSettled || performance.now() - startedAtMs > DISCOVERY_MS,
      }),
    });
    void port.open((bytes) => {
      const message = parseDatagram(bytes);
      const places = decodePlaceMessage(message);
      if (places === undefined) {
        this.coordinator.brittle.receive(decodeBrittle(message) ?? []);
      } else {
        this.coordinator.receive(places);
      }
    });
  }
}

type RequestEnd = 'served' | 'turnedAway' | 'lost';

export class BrittleFleet {
  readonly options: BrittleFleetOptions;

  readonly network: DatagramNetwork;

  /** While it holds, daemons that start know the others at once. */
  isSettled = true;

  stated: StatedBrittleness = { kind: 'none' };

  readonly fallsAtMs: number[] = [];

  readonly endsAtMs: Readonly<Record<RequestEnd, number[]>> = {
    served: [],
    turnedAway: [],
    lost: [],
  };

  readonly #clock: Clock;

  readonly #random: Random;

  readonly #peers: readonly Peer[];

  readonly #upstreams = new Map<string, SimulatedUpstream>();

  #daemons: Daemon[];

  #processes = 0;

  #started = 0;

  constructor(clock: Clock, options: BrittleFleetOptions) {
    const { daemons, upstreams, lossShare = 0, seed = 55 } = options;
    this.options = options;
    this.#clock = clock;
    this.#random = createRandom(seed);
    this.network = new DatagramNetwork({ random: this.#random, delayMs: 2, lossShare });
    this.#peers = Array.from({ length: daemons }, (_, index) => ({
      vm: `vm-${index}`,
      dataCentre: `dc-${index % DATA_CENTRES}`,
      host: `10.0.0.${index}`,
      port: 7_000,
    }));
    this.#daemons = this.#peers.map((self) => this.#startDaemon(self));
    Array.from({ length: upstreams }).forEach(() => this.#startUpstream());
  }

  /** Requests come at this rate, at any daemon. */
  async run(durationMs: number, perS: number): Promise<void> {
    const endAtMs = performance.now() + durationMs;
    let due = 0;
    while (performance.now() < endAtMs) {
      for (due += (perS * STEP_MS) / 1_000; due >= 1; due -= 1) {
        void this.#request(true);
      }
      await this.#clock.tickAsync(STEP_MS);
    }
  }

  silenceOne(durationMs: number): void {
    [...this.#upstreams.values()].find(({ hasFallen }) => !hasFallen)?.silence(durationMs);
  }

  /** Ends the processes of a share of the daemons, and starts others that know nothing. */
  restart(share: number): void {
    this.isSettled = false;
    this.#daemons = this.#daemons.map((daemon) => {
      if (this.#random.next() >= share) {
        return daemon;
      }
      daemon.coordinator.stop();
      const started = this.#startDaemon(daemon.self);
      [...this.#upstreams.values()].forEach(({ row }) => started.directory.put(row));
      return started;
    });
  }

  /** Another process takes the place of one that fell over. */
  replace({ row }: SimulatedUpstream): void {
    this.fallsAtMs.push(performance.now());
    setTimeout(() => this.#startUpstream(), RESTART_DELAY_MS);
    setTimeout(() => {
      this.#upstreams.delete(row.id);
      this.#daemons.forEach(({ directory }) => directory.remove(row.id));
    }, LIST_REMOVAL_DELAY_MS);
  }

  end(arrival: Arrival, how: RequestEnd): void {
    const { daemon, entry, place, sentAtMs, isGivenUp } = arrival;
    this.endsAtMs[how].push(performance.now());
    if (isGivenUp) {
      return;
    }
    entry.finishRequest(1);
    entry.recordActivity(performance.now());
    place?.release(how === 'turnedAway' ? 'turnedAway' : 'ended');
    Object.assign(arrival, { isGivenUp: true });
    if (how !== 'lost') {
      daemon.coordinator.brittle.recordAnswer(entry, this.stated, sentAtMs);
    }
  }

  async #request(mayComeBack: boolean): Promise<void> {
    const daemon = this.#daemons[this.#random.nextInt(this.#daemons.length)];
    const wasSent = daemon !== undefined && (await this.#place(daemon));
    if (!wasSent && mayComeBack) {
      const afterMs = RETRY_MS * (1 + this.#random.next() / 4);
      setTimeout(() => {
        void this.#request(false);
      }, afterMs);
    }
  }

  /** Tries the upstreams in any order; returns false if none has a place. */
  async #place(daemon: Daemon): Promise<boolean> {
    const { borrower } = daemon.coordinator;
    const nowMs = performance.now();
    const open = [...daemon.directory.entries]
      .filter((entry) => !entry.isSuspect(nowMs) && borrower.getWaitMs(entry, nowMs) === 0)
      .map((entry) => ({ entry, order: entry.requests + this.#random.next() }))
      .sort((a, b) => a.order - b.order);
    for (const { entry } of open) {
      const isNeeded = borrower.isNeeded(entry);
      const place = isNeeded ? await borrower.borrow(entry) : undefined;
      if (!isNeeded || place !== undefined) {
        this.#send(daemon, entry, place);
        return true;
      }
    }
    return false;
  }

  #send(daemon: Daemon, entry: UpstreamEntry, place: Place | undefined): void {
    const sentAtMs = performance.now();
    const arrival: Arrival = { daemon, entry, place, sentAtMs, isGivenUp: false };
    entry.startRequest(1);
    setTimeout(() => this.#upstreams.get(entry.id)?.receive(arrival), 1);
    setTimeout(() => {
      if (!arrival.isGivenUp) {
        arrival.isGivenUp = true;
        entry.finishRequest(1);
        place?.release('abandoned');
        void this.#request(false);
      }
    }, this.options.workMs + SILENCE_MS);
  }

  #startDaemon(self: Peer): Daemon {
    this.#processes += 1;
    const peers = this.#peers.filter(({ vm }) => vm !== self.vm);
    return new Daemon(this, this.network, { self, peers, processId: this.#processes });
  }

  #startUpstream(): void {
    this.#started += 1;
    const id = `u-${this.#started}`;
    const row: Upstream = {
      id,
      service: SERVICE,
      host: '127.0.0.1',
      port: 1,
      dataCentre: `dc-${this.#started % DATA_CENTRES}`,
      softwareVersion: 'v1',
      slots: this.options.slots,
      state: 'ready',
    };
    this.#upstreams.set(id, new SimulatedUpstream(this, row));
    this.#daemons.forEach(({ directory }) => directory.put(row));
  }
}

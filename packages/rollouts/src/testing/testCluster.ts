/** A cluster of daemons in one process with a shared table, rater and fake clock. */
import {
  createRandom,
  createSilentLogger,
  rankByRendezvous,
  setInvariantsFatal,
  startActorSystem,
} from '@snipehaven/common';
import { DEFAULT_SETTINGS, SafeMoveRegistry } from '@snipehaven/configuration';
import { TableLeaseKeeper, type MembershipView } from '@snipehaven/membership';
import { PlatformRefusedError, type RaterClient, type TableClient } from '@snipehaven/platform';
import {
  PeerUnreachableError,
  type Member,
  type PeerHandlers,
  type PeerTransport,
} from '@snipehaven/protocol';
import type { RolloutSettings } from '@snipehaven/policy';
import type { ConfigurationView, Kind, Resource, RolloutSpec } from '@snipehaven/resources';
import { HybridClock, Timeline } from '@snipehaven/timeline';
import { rolloutSettings } from '../constants.js';
import { RolloutSystem } from '../rolloutSystem.js';
import { FakeRater } from './fakeRater.js';
import { FakeTable } from './fakeTable.js';

/** The parts of the fake clock that the cluster uses. */
interface TestClock {
  tickAsync(durationMs: number): Promise<number>;
  uninstall(): void;
}

export interface TestDaemon {
  readonly self: Member;
  readonly system: RolloutSystem;
  readonly safeMoves: SafeMoveRegistry;
  readonly timeline: Timeline;
}

/** Simulated gossip faults. */
interface GossipFaults {
  /** Fraction of payloads that are lost. */
  loss: number;
  /** Fraction of payloads that are delivered twice. */
  duplication: number;
  /** Maximum random delay of a payload, which also reorders payloads. */
  delayMs: number;
}

export const STABLE = 'small@1';
export const CANDIDATE = 'small@2';

const START_MS = 1_700_000_000_000;
const GOSSIP_INTERVAL_MS = 1_000;
const CLOCK_STEP_MS = 100;

const defaultRollout: RolloutSpec = {
  model: 'small',
  stableVersion: STABLE,
  candidateVersion: CANDIDATE,
  stages: [
    { sharePct: 1, minRatings: 20 },
    { sharePct: 10, minRatings: 20 },
    { sharePct: 100, minRatings: 20 },
  ],
  exposureBudget: 20,
  maxFailureIncreasePct: 5,
  isPaused: false,
};

export class TestCluster {
  readonly table = new FakeTable();

  readonly rater = new FakeRater();

  readonly random = createRandom(7);

  readonly faults: GossipFaults = { loss: 0, duplication: 0, delayMs: 0 };

  /** VMs whose daemons are frozen: they neither send nor receive. */
  readonly frozen = new Set<string>();

  /** Data centres that are partitioned from the others and from the platform. */
  readonly partitioned = new Set<string>();

  /** Bytes of both topics' payloads per VM, sent and received. */
  readonly gossipBytes = new Map<string, number>();

  readonly #clock: TestClock;

  readonly #settings: RolloutSettings;

  readonly #daemons: TestDaemon[] = [];

  #inFlight: { readonly dueMs: number; readonly deliver: () => void }[] = [];

  #resources: readonly Resource[] = [];

  #revision = 0;

  #elapsedMs = 0;

  #onStep: (stepMs: number) => void = () => undefined;

  constructor(clock: TestClock, settings: RolloutSettings) {
    this.#clock = clock;
    this.#settings = settings;
    setInvariantsFatal(true);
    this.declare({});
  }

  get daemons(): readonly TestDaemon[] {
    return this.#daemons;
  }

  /** Declares the roll-out with changes to the default spec. */
  declare(changes: Partial<RolloutSpec>): void {
    this.#revision += 1;
    const describe = (kind: Kind, name: string, spec: unknown): Resource => ({
      kind,
      metadata: {
        name,
        uid: `uid-${name}`,
        resourceVersion: this.#revision,
        generation: this.#revision,
        createdAtMs: START_MS,
        updatedAtMs: START_MS,
      },
      spec: spec as Resource['spec'],
    });
    this.#resources = [
      describe('Rollout', 'small', { ...defaultRollout, ...changes }),
      ...[STABLE, CANDIDATE, 'big@1'].map((name) => describe('ModelVersion', name, {})),
    ];
  }

  /** Sets a function to call at each step of the clock. */
  onStep(listener: (stepMs: number) => void): void {
    this.#onStep = listener;
  }

  /** Starts `count` daemons, distributed over the data centres round-robin. */
  addDaemons(count: number, dataCentres: readonly string[]): void {
    for (let index = 0; index < count; index += 1) {
      const dataCentre = dataCentres[index % dataCentres.length] as string;
      this.addDaemon(`${dataCentre}${Math.floor(index / dataCentres.length)}`, dataCentre);
    }
  }

  addDaemon(vm: string, dataCentre: string): TestDaemon {
    const incarnation = `${vm}-${this.#daemons.length.toString(36)}bootms-x7k2`;
    const self: Member = {
      vm,
      dataCentre,
      address: vm,
      incarnation,
      refutation: 0,
      state: 'alive',
    };
    const logger = createSilentLogger();
    const timeline = new Timeline({ vm, dataCentre, incarnation }, new HybridClock());
    const random = createRandom(this.#daemons.length + 1);
    const membership = this.#createMembership(self);
    const table = this.#createTable(self);
    const transport = this.#createTransport(self);
    const base = { table, transport, membership, timeline, logger, random };
    const safeMoves = new SafeMoveRegistry({ ...base, settings: DEFAULT_SETTINGS });
    const system = new RolloutSystem({
      ...base,
      leases: new TableLeaseKeeper({ ...base, incarnation }),
      rater: this.#createRater(self),
      configuration: { getView: () => this.#getView() },
      safeMoves,
      actorSystem: startActorSystem(),
      settings: this.#settings,
    });
    const daemon = { self, system, safeMoves, timeline };
    this.#daemons.push(daemon);
    system.start();
    return daemon;
  }

  kill(daemon: TestDaemon): void {
    daemon.system.kill();
    this.#daemons.splice(this.#daemons.indexOf(daemon), 1);
  }

  /** The daemon that holds the lease of the roll-out. */
  findLeaseHolder(): TestDaemon | undefined {
    return this.#daemons.find(({ system }) => system.runner.listHeldRollouts().length > 0);
  }

  async advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += CLOCK_STEP_MS) {
      await this.#clock.tickAsync(CLOCK_STEP_MS);
      this.#elapsedMs += CLOCK_STEP_MS;
      this.#deliverDue();
      this.#onStep(CLOCK_STEP_MS);
      if (this.#elapsedMs % GOSSIP_INTERVAL_MS === 0) {
        this.#gossip();
      }
    }
  }

  /** Advances until the condition holds or the limit is reached; returns whether it holds. */
  async advanceUntil(condition: () => boolean, limitMs: number): Promise<boolean> {
    for (let passedMs = 0; passedMs < limitMs && !condition(); passedMs += GOSSIP_INTERVAL_MS) {
      await this.advance(GOSSIP_INTERVAL_MS);
    }
    return condition();
  }

  stop(): void {
    this.#daemons.forEach(({ system }) => system.kill());
    this.#clock.uninstall();
  }

  #getView(): ConfigurationView {
    const resources = this.#resources;
    return {
      revision: this.#revision,
      get: (kind, name) =>
        resources.find(
          (resource) => resource.kind === kind && resource.metadata.name === name,
        ) as never,
      list: (kind) => resources.filter((resource) => resource.kind === kind) as never,
    };
  }

  #canReach(from: Member, to: Member): boolean {
    const isPartitioned = [from, to].some(({ dataCentre }) => this.partitioned.has(dataCentre));
    const isFrozen = [from, to].some(({ vm }) => this.frozen.has(vm));
    return from === to || (!isFrozen && (from.dataCentre === to.dataCentre || !isPartitioned));
  }

  #checkPlatformReachable({ dataCentre, vm }: Member): void {
    if (this.partitioned.has(dataCentre) || this.frozen.has(vm)) {
      throw new PlatformRefusedError('unreachable');
    }
  }

  #createTable(self: Member): TableClient {
    return {
      transact: async (transactions) => {
        this.#checkPlatformReachable(self);
        return this.table.transact(transactions);
      },
      read: async (keys) => {
        this.#checkPlatformReachable(self);
        return this.table.read(keys);
      },
      scan: async (options) => {
        this.#checkPlatformReachable(self);
        return this.table.scan(options);
      },
    };
  }

  #createRater(self: Member): RaterClient {
    return {
      submit: async (requests) => {
        this.#checkPlatformReachable(self);
        return this.rater.submit(requests);
      },
      rate: async (request) => {
        this.#checkPlatformReachable(self);
        return this.rater.rate(request);
      },
      fetchRatings: async (afterSeq, limit) => {
        this.#checkPlatformReachable(self);
        return this.rater.fetchRatings(afterSeq, limit);
      },
    };
  }

  #createTransport(from: Member): PeerTransport {
    const find = async (address: string): Promise<TestDaemon> => {
      const peer = this.#daemons.find(({ self }) => self.address === address);
      if (peer === undefined || !this.#canReach(from, peer.self)) {
        throw new PeerUnreachableError(address);
      }
      return peer;
    };
    return {
      getPeer: (address) =>
        ({
          configuration: {
            pushSafeMoves: async (message) =>
              (await find(address)).safeMoves.handlePush(structuredClone(message)),
          },
          evidence: {
            deliverScores: async (message) =>
              (await find(address)).system.handlers.deliverScores(structuredClone(message)),
          },
        }) as PeerHandlers,
    };
  }

  #createMembership(self: Member): MembershipView {
    const listAlive = (): readonly Member[] =>
      this.#daemons.map((daemon) => daemon.self).filter((member) => this.#canReach(self, member));
    const listLocal = (): readonly Member[] =>
      listAlive().filter(({ dataCentre }) => dataCentre === self.dataCentre);
    const rankLocal = (key: string): readonly Member[] => {
      const local = new Map(listLocal().map((member) => [member.incarnation, member]));
      const ranked = rankByRendezvous(key, [...local.keys()]);
      return ranked.map((incarnation) => local.get(incarnation) as Member);
    };
    const getDutyOwner = (duty: string): Member => rankLocal(duty)[0] ?? self;
    const listRelays = (): readonly Member[] => [
      ...new Map(
        listAlive()
          .filter(({ dataCentre }) => dataCentre !== self.dataCentre)
          .map((member) => [member.dataCentre, member]),
      ).values(),
    ];
    const find = (incarnation: string): Member | undefined =>
      listAlive().find((member) => member.incarnation === incarnation);
    return {
      self,
      listAlive,
      listLocal,
      listRelays,
      rankLocal,
      getDutyOwner,
      ownsDuty: (duty) => getDutyOwner(duty) === self,
      isIncarnationAlive: (incarnation) => find(incarnation) !== undefined,
      getMember: find,
      onChange: () => () => undefined,
      onPause: () => () => undefined,
      listMembers: listAlive,
    };
  }

  /**
   * Exchanges payloads like membership: in each round every daemon with one local peer and, in
   * every other round, two relays per data centre with one member of each remote data centre.
   */
  #gossip(): void {
    const round = this.#elapsedMs / GOSSIP_INTERVAL_MS;
    this.#daemons.forEach((daemon) => {
      const peers = this.#daemons.filter(
        (other) => other !== daemon && this.#canReach(daemon.self, other.self),
      );
      const isLocal = ({ self }: TestDaemon): boolean => self.dataCentre === daemon.self.dataCentre;
      const localPeers = peers.filter(isLocal);
      const localPeer = localPeers[this.random.nextInt(Math.max(1, localPeers.length))];
      const reachablePeers = this.#isRelay(daemon, localPeers) && round % 2 === 0 ? peers : [];
      const remoteDataCentres = new Set(
        reachablePeers.filter((peer) => !isLocal(peer)).map(({ self }) => self.dataCentre),
      );
      const relays = [...remoteDataCentres].map((dataCentre) => {
        const members = reachablePeers.filter(({ self }) => self.dataCentre === dataCentre);
        return members[this.random.nextInt(members.length)];
      });
      [localPeer, ...relays]
        .filter((peer) => peer !== undefined)
        .forEach((peer) => this.#exchange(daemon, peer));
    });
  }

  #isRelay(daemon: TestDaemon, localPeers: readonly TestDaemon[]): boolean {
    const incarnations = [daemon, ...localPeers].map(({ self }) => self.incarnation);
    return rankByRendezvous('relay', incarnations).slice(0, 2).includes(daemon.self.incarnation);
  }

  #exchange(a: TestDaemon, b: TestDaemon): void {
    this.#send(a, b);
    this.#send(b, a);
  }

  #send(from: TestDaemon, to: TestDaemon): void {
    from.system.topics.forEach((topic, index) => {
      const payload = topic.getPayload(to.self);
      if (payload === undefined) {
        return;
      }
      const text = JSON.stringify(payload);
      const sizeBytes = text.length + topic.name.length + 4;
      [from, to].forEach(({ self }) =>
        this.gossipBytes.set(self.vm, (this.gossipBytes.get(self.vm) ?? 0) + sizeBytes),
      );
      if (this.random.next() < this.faults.loss) {
        return;
      }
      const copies = this.random.next() < this.faults.duplication ? 2 : 1;
      for (let sent = 0; sent < copies; sent += 1) {
        const dueMs = Date.now() + this.random.next() * this.faults.delayMs;
        const deliver = (): void =>
          to.system.topics[index]?.mergePayload(JSON.parse(text), from.self);
        this.#inFlight.push({ dueMs, deliver });
      }
    });
    this.#deliverDue();
  }

  #deliverDue(): void {
    const nowMs = Date.now();
    const due = this.#inFlight.filter(({ dueMs }) => dueMs <= nowMs);
    this.#inFlight = this.#inFlight.filter(({ dueMs }) => dueMs > nowMs);
    due.sort((a, b) => a.dueMs - b.dueMs).forEach(({ deliver }) => deliver());
  }
}

/** Runs a test with a cluster and always restores the clock. */
export const createClusterTest =
  (
    install: (options: { readonly now: number }) => TestClock,
    settings: RolloutSettings = rolloutSettings,
  ) =>
  (run: (cluster: TestCluster) => Promise<void>) =>
  async (): Promise<void> => {
    const cluster = new TestCluster(install({ now: START_MS }), settings);
    try {
      await run(cluster);
    } finally {
      cluster.stop();
    }
  };

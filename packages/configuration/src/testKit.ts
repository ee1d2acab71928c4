/**
 * Test doubles for the dependencies of the configuration, and a cluster of daemons that use them.
 */
import {
  createRandom,
  createSilentLogger,
  getRendezvousOwner,
  pickRandom,
  setInvariantsFatal,
  startActorSystem,
} from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import {
  PlatformOutcomeUnknownError,
  PlatformRefusedError,
  type ObjectStoreClient,
  type ScanOptions,
  type TableClient,
  type TableRow,
  type TableTransaction,
  type TransactionResult,
} from '@snipehaven/platform';
import {
  createLocalPeer,
  PeerUnreachableError,
  type Member,
  type PeerHandlers,
  type PeerTransport,
} from '@snipehaven/protocol';
import { restoreManifest, type ResourceManifest } from '@snipehaven/resources';
import { silentRecorder } from '@snipehaven/timeline';
import { ConfigurationReplica } from './configurationReplica.js';
import type { ConfigurationSettings } from './constants.js';

const copy = <Value>(value: Value): Value =>
  value === undefined ? value : (JSON.parse(JSON.stringify(value)) as Value);

/** Simulated faults of the table. */
interface TableFaults {
  isDown: boolean;
  delayMs: number;
  /** Number of transactions that take effect but lose their reply. */
  lostReplies: number;
  /** Number of transactions that lose their reply and take effect later, on `deliverDelayed`. */
  delayedTransactions: number;
  /** Runs before each transaction takes effect. */
  beforeTransact: () => void;
}

export class FakeTable implements TableClient {
  readonly rows = new Map<string, TableRow>();

  reads = 0;

  readonly #faults: TableFaults = {
    isDown: false,
    delayMs: 0,
    lostReplies: 0,
    delayedTransactions: 0,
    beforeTransact: () => undefined,
  };

  readonly #delayed: (readonly TableTransaction[])[] = [];

  inject(faults: Partial<TableFaults>): void {
    Object.assign(this.#faults, faults);
  }

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    await this.#simulateCall();
    this.#faults.beforeTransact();
    if (this.#faults.delayedTransactions > 0) {
      this.#faults.delayedTransactions -= 1;
      this.#delayed.push(copy(transactions));
      throw new PlatformOutcomeUnknownError('the reply was lost');
    }
    const results = transactions.map((transaction) => this.#run(copy(transaction)));
    if (this.#faults.lostReplies > 0) {
      this.#faults.lostReplies -= 1;
      throw new PlatformOutcomeUnknownError('the reply was lost');
    }
    return copy(results);
  }

  deliverDelayed(): readonly TransactionResult[] {
    return this.#delayed
      .splice(0)
      .flatMap((batch) => batch.map((transaction) => this.#run(transaction)));
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    await this.#simulateCall();
    this.reads += keys.length;
    return copy(this.#get(keys));
  }

  async scan({ prefix, afterKey = '', limit }: ScanOptions): Promise<readonly TableRow[]> {
    await this.#simulateCall();
    this.reads += 1;
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > afterKey);
    return copy(this.#get(keys.sort().slice(0, limit)));
  }

  async #simulateCall(): Promise<void> {
    if (this.#faults.delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.#faults.delayMs);
      });
    }
    if (this.#faults.isDown) {
      throw new PlatformRefusedError('the table is unavailable');
    }
  }

  #get(keys: readonly string[]): TableRow[] {
    return keys.map((key) => this.rows.get(key)).filter((row) => row !== undefined);
  }

  #run({ conditions, writes }: TableTransaction): TransactionResult {
    const isMet = conditions.every(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) === version,
    );
    if (!isMet) {
      return { kind: 'conflict', rows: this.#get(conditions.map(({ key }) => key)) };
    }
    const versions = writes.map(({ key, value }) => {
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      if (value === null) {
        this.rows.delete(key);
      } else {
        this.rows.set(key, { key, value, version });
      }
      return { key, version };
    });
    return { kind: 'committed', versions };
  }
}

export class FakeObjectStore implements ObjectStoreClient {
  readonly objects = new Map<string, Uint8Array>();

  #isDown = false;

  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  async put(name: string, bytes: Uint8Array): Promise<void> {
    this.#checkAvailable();
    this.objects.set(name, bytes);
  }

  async get(name: string): Promise<Uint8Array | undefined> {
    this.#checkAvailable();
    return this.objects.get(name);
  }

  async delete(name: string): Promise<void> {
    this.#checkAvailable();
    this.objects.delete(name);
  }

  async list(prefix: string): Promise<readonly string[]> {
    this.#checkAvailable();
    return [...this.objects.keys()].filter((name) => name.startsWith(prefix));
  }

  #checkAvailable(): void {
    if (this.#isDown) {
      throw new PlatformRefusedError('the object store is unavailable');
    }
  }
}

/** A daemon of the cluster and its configuration replica. */
export interface TestDaemon {
  readonly self: Member;
  readonly replica: ConfigurationReplica;
}

const START_MS = 1_000_000;
const GOSSIP_PERIOD_MS = 1_000;
const STEP_MS = 50;

/** The parts of the fake clock that the cluster uses. */
interface TestClock {
  tickAsync(durationMs: number): Promise<number>;
  uninstall(): void;
}

/** Several daemons in one process with a shared table and fake clock. */
export class TestCluster {
  readonly table = new FakeTable();

  readonly objectStore = new FakeObjectStore();

  readonly random = createRandom(7);

  /** Data centres that are partitioned from the others and from the table. */
  readonly partitioned = new Set<string>();

  /** While true, pushes are lost; gossip and fetches still arrive. */
  #dropsPushes = false;

  readonly #clock: TestClock;

  readonly #daemons = new Map<string, TestDaemon>();

  #elapsedMs = 0;

  /** Incremented when a daemon is added or killed; part of the reachability cache key. */
  #topologyVersion = 0;

  readonly #reachable = new Map<string, readonly TestDaemon[]>();

  constructor(clock: TestClock) {
    this.#clock = clock;
    setInvariantsFatal(true);
  }

  dropPushes(): void {
    this.#dropsPushes = true;
  }

  addDaemon(vm: string, settings: Partial<ConfigurationSettings> = {}): TestDaemon {
    const dataCentre = vm.slice(0, 1);
    const incarnation = `${vm}#${this.#daemons.size}-${Date.now()}`;
    const self: Member = {
      vm,
      dataCentre,
      address: `${vm}:1`,
      incarnation,
      refutation: 0,
      state: 'alive',
    };
    const replica = new ConfigurationReplica({
      table: this.#createTableClient(dataCentre),
      objectStore: this.objectStore,
      transport: this.#createTransport(self),
      membership: this.#createMembership(self),
      timeline: silentRecorder,
      logger: createSilentLogger(),
      random: createRandom(this.#daemons.size + 1),
      actorSystem: startActorSystem(),
      settings,
    });
    const daemon = { self, replica };
    this.#daemons.set(self.address, daemon);
    this.#topologyVersion += 1;
    replica.start();
    return daemon;
  }

  async addReadyDaemons(vms: readonly string[]): Promise<readonly TestDaemon[]> {
    const daemons = vms.map((vm) => this.addDaemon(vm));
    await this.advance(3_000);
    return daemons;
  }

  kill({ self, replica }: TestDaemon): void {
    replica.stop();
    this.#daemons.delete(self.address);
    this.#topologyVersion += 1;
  }

  async advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await this.#clock.tickAsync(STEP_MS);
      this.#elapsedMs += STEP_MS;
      if (this.#elapsedMs % GOSSIP_PERIOD_MS === 0) {
        this.#gossip();
      }
    }
  }

  /** Advances the clock until the promise is settled; returns its result. */
  async settle<Result>(promise: Promise<Result>): Promise<Result> {
    let isSettled = false;
    const markSettled = (): void => {
      isSettled = true;
    };
    promise.then(markSettled, markSettled);
    for (let steps = 0; !isSettled && steps < 1_000; steps += 1) {
      await this.advance(STEP_MS);
    }
    return promise;
  }

  /** Returns the error with which the promise rejects. */
  settleError(promise: Promise<unknown>): Promise<unknown> {
    return this.settle(
      promise.then(
        () => {
          throw new Error('expected a rejection');
        },
        (error: unknown) => error,
      ),
    );
  }

  stop(): void {
    this.#daemons.forEach(({ replica }) => replica.stop());
    this.#clock.uninstall();
  }

  #listReachable({ dataCentre }: Member): readonly TestDaemon[] {
    const key = [dataCentre, this.#topologyVersion, ...this.partitioned].join('/');
    const known = this.#reachable.get(key) ?? this.#findReachable(dataCentre);
    this.#reachable.set(key, known);
    return known;
  }

  #findReachable(dataCentre: string): readonly TestDaemon[] {
    const isReachable = (other: string): boolean =>
      other === dataCentre || (!this.partitioned.has(dataCentre) && !this.partitioned.has(other));
    return [...this.#daemons.values()].filter(({ self }) => isReachable(self.dataCentre));
  }

  #createTableClient(dataCentre: string): TableClient {
    const reach = async (): Promise<FakeTable> => {
      if (this.partitioned.has(dataCentre)) {
        throw new PlatformRefusedError('partitioned from the table');
      }
      return this.table;
    };
    return {
      transact: async (transactions) => (await reach()).transact(transactions),
      read: async (keys) => (await reach()).read(keys),
      scan: async (options) => (await reach()).scan(options),
    };
  }

  #createTransport(from: Member): PeerTransport {
    return {
      getPeer: (address) => {
        const reach = async (isPush: boolean): Promise<PeerHandlers['configuration']> => {
          const peer = this.#listReachable(from).find(({ self }) => self.address === address);
          if (!peer || (isPush && this.#dropsPushes)) {
            throw new PeerUnreachableError(address);
          }
          const handlers = { configuration: peer.replica.handlers };
          return createLocalPeer(handlers as unknown as PeerHandlers).configuration;
        };
        const configuration: PeerHandlers['configuration'] = {
          pushChanges: async (message) => (await reach(true)).pushChanges(copy(message)),
          pushSafeMoves: async (message) => (await reach(true)).pushSafeMoves(copy(message)),
          fetchChanges: async (message) => (await reach(false)).fetchChanges(copy(message)),
        };
        return { configuration } as unknown as PeerHandlers;
      },
    };
  }

  #createMembership(self: Member): MembershipView {
    const listAlive = (): readonly Member[] => {
      const reachable = this.#listReachable(self).map((daemon) => daemon.self);
      return reachable.includes(self) ? reachable : [self, ...reachable];
    };
    const listLocal = (): readonly Member[] =>
      listAlive().filter(({ dataCentre }) => dataCentre === self.dataCentre);
    const getDutyOwner = (duty: string): Member => {
      const owner = getRendezvousOwner(
        duty,
        listLocal().map(({ address }) => address),
      );
      return listLocal().find(({ address }) => address === owner) ?? self;
    };
    const listRelays = (): readonly Member[] => [
      ...new Map(
        listAlive()
          .filter(({ dataCentre }) => dataCentre !== self.dataCentre)
          .map((member) => [member.dataCentre, member]),
      ).values(),
    ];
    return {
      self,
      listAlive,
      listLocal,
      listRelays,
      rankLocal: listLocal,
      getDutyOwner,
      ownsDuty: (duty) => getDutyOwner(duty) === self,
      isIncarnationAlive: (incarnation) =>
        listAlive().some((member) => member.incarnation === incarnation),
      onChange: () => () => undefined,
      listMembers: listAlive,
      getMember: (incarnation) => listAlive().find((member) => member.incarnation === incarnation),
      onPause: () => () => undefined,
    };
  }

  /** Every daemon exchanges payloads with one local and one remote peer. */
  #gossip(): void {
    this.#daemons.forEach((daemon) => {
      const others = this.#listReachable(daemon.self).filter((other) => other !== daemon);
      const isLocal = ({ self }: TestDaemon): boolean => self.dataCentre === daemon.self.dataCentre;
      const localPeer = pickRandom(others.filter(isLocal), this.random);
      const remotePeer = pickRandom(
        others.filter((other) => !isLocal(other)),
        this.random,
      );
      [localPeer, remotePeer]
        .filter((peer) => peer !== undefined)
        .forEach((peer) => exchange(daemon, peer));
    });
  }
}

const exchange = (a: TestDaemon, b: TestDaemon): void =>
  a.replica.topics.forEach((topic, index) => {
    const peerTopic = b.replica.topics[index];
    peerTopic?.mergePayload(copy(topic.getPayload(b.self)), a.self);
    topic.mergePayload(copy(peerTopic?.getPayload(a.self)), b.self);
  });

/** Runs a test with a cluster and always restores the clock. */
export const createClusterTest =
  (install: (options: { readonly now: number }) => TestClock) =>
  (run: (cluster: TestCluster) => Promise<void>) =>
  async () => {
    const cluster = new TestCluster(install({ now: START_MS }));
    try {
      await run(cluster);
    } finally {
      cluster.stop();
    }
  };

const KEY_LENGTH = 64;

/** Builds a team manifest whose key hash consists of the given digit. */
export const buildTeam = (
  name: string,
  keyDigit: string,
  fields: { readonly qualityTarget?: number; readonly resourceVersion?: number } = {},
): ResourceManifest =>
  restoreManifest({
    kind: 'Team',
    metadata: {
      name,
      ...(fields.resourceVersion === undefined ? {} : { resourceVersion: fields.resourceVersion }),
    },
    spec: {
      keys: [{ name: 'main', sha256: keyDigit.repeat(KEY_LENGTH) }],
      allowedVersions: ['small@*'],
      qualityTarget: fields.qualityTarget ?? 0.5,
    },
  });

export const buildVersion = (name: string): ResourceManifest =>
  restoreManifest({
    kind: 'ModelVersion',
    metadata: { name },
    spec: { inputMicroUsdPerMillionTokens: 1, outputMicroUsdPerMillionTokens: 2 },
  });

export const buildRollout = (sharePct: number, candidateVersion = 'small@2'): ResourceManifest =>
  restoreManifest({
    kind: 'Rollout',
    metadata: { name: 'small' },
    spec: {
      model: 'small',
      stableVersion: 'small@1',
      candidateVersion,
      stages: [{ sharePct }],
    },
  });

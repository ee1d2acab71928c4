/** Fakes at the interfaces of the configuration, and daemons wired over them; for tests. */
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

/** What goes wrong at the table. */
interface TableFaults {
  isDown: boolean;
  delayMs: number;
  /** So many transactions take effect and lose their answer. */
  lostReplies: number;
  /** So many transactions lose their answer and take effect later, by `deliverLate`. */
  lateTransactions: number;
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
    lateTransactions: 0,
    beforeTransact: () => undefined,
  };

  readonly #late: (readonly TableTransaction[])[] = [];

  inject(faults: Partial<TableFaults>): void {
    Object.assign(this.#faults, faults);
  }

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    await this.#pass();
    this.#faults.beforeTransact();
    if (this.#faults.lateTransactions > 0) {
      this.#faults.lateTransactions -= 1;
      this.#late.push(copy(transactions));
      throw new PlatformOutcomeUnknownError('no answer');
    }
    const results = transactions.map((transaction) => this.#run(copy(transaction)));
    if (this.#faults.lostReplies > 0) {
      this.#faults.lostReplies -= 1;
      throw new PlatformOutcomeUnknownError('no answer');
    }
    return copy(results);
  }

  deliverLate(): readonly TransactionResult[] {
    return this.#late.splice(0).flatMap((batch) => batch.map((late) => this.#run(late)));
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    await this.#pass();
    this.reads += keys.length;
    return copy(this.#get(keys));
  }

  async scan({ prefix, afterKey = '', limit }: ScanOptions): Promise<readonly TableRow[]> {
    await this.#pass();
    this.reads += 1;
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > afterKey);
    return copy(this.#get(keys.sort().slice(0, limit)));
  }

  async #pass(): Promise<void> {
    if (this.#faults.delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.#faults.delayMs);
      });
    }
    if (this.#faults.isDown) {
      throw new PlatformRefusedError('the table is away');
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
    this.#pass();
    this.objects.set(name, bytes);
  }

  async get(name: string): Promise<Uint8Array | undefined> {
    this.#pass();
    return this.objects.get(name);
  }

  async delete(name: string): Promise<void> {
    this.#pass();
    this.objects.delete(name);
  }

  async list(prefix: string): Promise<readonly string[]> {
    this.#pass();
    return [...this.objects.keys()].filter((name) => name.startsWith(prefix));
  }

  #pass(): void {
    if (this.#isDown) {
      throw new PlatformRefusedError('the object store is away');
    }
  }
}

/** One daemon's configuration with its place in the network. */
export interface TestDaemon {
  readonly self: Member;
  readonly replica: ConfigurationReplica;
}

const START_MS = 1_000_000;
const GOSSIP_PERIOD_MS = 1_000;
const STEP_MS = 50;

/** The part of a faked clock that the cluster needs. */
interface TestClock {
  tickAsync(durationMs: number): Promise<number>;
  uninstall(): void;
}

/** Several daemons in one process over one table, with a clock that tests advance. */
export class TestCluster {
  readonly table = new FakeTable();

  readonly objectStore = new FakeObjectStore();

  readonly random = createRandom(7);

  /** Data centres that reach nothing outside, the table included. */
  readonly cutOff = new Set<string>();

  /** Pushes get lost while true; gossip and fetches arrive. */
  #losesPushes = false;

  readonly #clock: TestClock;

  readonly #daemons = new Map<string, TestDaemon>();

  #elapsedMs = 0;

  /** Counts the daemons added and killed. */
  #version = 0;

  readonly #reachable = new Map<string, readonly TestDaemon[]>();

  constructor(clock: TestClock) {
    this.#clock = clock;
    setInvariantsFatal(true);
  }

  losePushes(): void {
    this.#losesPushes = true;
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
    this.#version += 1;
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
    this.#version += 1;
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

  /** Advances the clock until the promise is settled; returns what became of it. */
  async settle<Result>(promise: Promise<Result>): Promise<Result> {
    let isSettled = false;
    const noteSettled = (): void => {
      isSettled = true;
    };
    promise.then(noteSettled, noteSettled);
    for (let steps = 0; !isSettled && steps < 1_000; steps += 1) {
      await this.advance(STEP_MS);
    }
    return promise;
  }

  /** The error with which the promise rejects. */
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
    const key = [dataCentre, this.#version, ...this.cutOff].join('/');
    const known = this.#reachable.get(key) ?? this.#findReachable(dataCentre);
    this.#reachable.set(key, known);
    return known;
  }

  #findReachable(dataCentre: string): readonly TestDaemon[] {
    const isReachable = (other: string): boolean =>
      other === dataCentre || (!this.cutOff.has(dataCentre) && !this.cutOff.has(other));
    return [...this.#daemons.values()].filter(({ self }) => isReachable(self.dataCentre));
  }

  #createTableClient(dataCentre: string): TableClient {
    const reach = async (): Promise<FakeTable> => {
      if (this.cutOff.has(dataCentre)) {
        throw new PlatformRefusedError('cut off from the table');
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
          if (!peer || (isPush && this.#losesPushes)) {
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

  /** Each daemon exchanges payloads with one near peer and with one far one. */
  #gossip(): void {
    this.#daemons.forEach((daemon) => {
      const others = this.#listReachable(daemon.self).filter((other) => other !== daemon);
      const isNear = ({ self }: TestDaemon): boolean => self.dataCentre === daemon.self.dataCentre;
      const near = pickRandom(others.filter(isNear), this.random);
      const far = pickRandom(
        others.filter((other) => !isNear(other)),
        this.random,
      );
      [near, far].filter((peer) => peer !== undefined).forEach((peer) => exchange(daemon, peer));
    });
  }
}

const exchange = (a: TestDaemon, b: TestDaemon): void =>
  a.replica.topics.forEach((topic, index) => {
    const peerTopic = b.replica.topics[index];
    peerTopic?.mergePayload(copy(topic.getPayload(b.self)), a.self);
    topic.mergePayload(copy(peerTopic?.getPayload(a.self)), b.self);
  });

/** Runs a test with a cluster, and gives the clock back whatever happens. */
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

/** A manifest of a team whose key is made from the given digit. */
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

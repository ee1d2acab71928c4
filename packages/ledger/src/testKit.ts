/** Fakes for the tests of this package: platform, engines, and daemons in one process. */
import { createRandom, createSilentLogger } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import {
  PlatformOutcomeUnknownError,
  PlatformRefusedError,
  type ObjectStoreClient,
  type TableClient,
  type TableRow,
  type TableTransaction,
  type TransactionResult,
} from '@snipehaven/platform';
import {
  PeerUnreachableError,
  replicateUsageSchema,
  type Member,
  type OpenUsage,
  type PeerTransport,
  type UsageEntry,
  type UsageStream,
} from '@snipehaven/protocol';
import type { EventType } from '@snipehaven/timeline';
import type { StreamState } from '@snipehaven/upstream';
import { ReplicatedUsageLedger } from './replicatedUsageLedger.js';
import { TableLedgerReader } from './tableLedgerReader.js';
import type { LedgerSettings, Settlement } from './types.js';
import { createUsageLine } from './usageCost.js';

const SUSPECTED_MS = 1_000;
const DEATH_NOTICED_MS = 2_000;

/** Faults that table and object store share. */
class FaultyService {
  isDown = false;

  lostReplies = 0;

  protected perform<Result>(call: () => Result): Promise<Result> {
    if (this.isDown) {
      return Promise.reject(new PlatformRefusedError('down'));
    }
    const result = call();
    if (this.lostReplies > 0) {
      this.lostReplies -= 1;
      return Promise.reject(new PlatformOutcomeUnknownError('reply lost'));
    }
    return Promise.resolve(result);
  }
}

export class FakeTable extends FaultyService implements TableClient {
  readonly rows = new Map<string, TableRow>();

  writes = 0;

  transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    return this.perform(() => transactions.map((transaction) => this.#apply(transaction)));
  }

  read(keys: readonly string[]): Promise<readonly TableRow[]> {
    return this.perform(() => this.#find(keys));
  }

  scan({ prefix, afterKey = '', limit }: Parameters<TableClient['scan']>[0]) {
    return this.perform(() => {
      const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > afterKey);
      return this.#find(keys.sort().slice(0, limit));
    });
  }

  #find(keys: readonly string[]): readonly TableRow[] {
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  #apply({ conditions, writes }: TableTransaction): TransactionResult {
    const getVersion = (key: string): number => this.rows.get(key)?.version ?? 0;
    if (conditions.some(({ key, version }) => getVersion(key) !== version)) {
      return { kind: 'conflict', rows: this.#find(conditions.map(({ key }) => key)) };
    }
    this.writes += writes.length;
    const versions = writes.map(({ key, value }) => {
      const version = getVersion(key) + 1;
      this.rows.set(key, { key, value: structuredClone(value), version });
      return { key, version };
    });
    return { kind: 'committed', versions };
  }
}

export class FakeObjectStore extends FaultyService implements ObjectStoreClient {
  readonly objects = new Map<string, Uint8Array>();

  put(name: string, bytes: Uint8Array): Promise<void> {
    return this.perform(() => {
      this.objects.set(name, bytes);
    });
  }

  get(name: string): Promise<Uint8Array | undefined> {
    return this.perform(() => this.objects.get(name));
  }

  delete(name: string): Promise<void> {
    return this.perform(() => {
      this.objects.delete(name);
    });
  }

  list(prefix: string): Promise<readonly string[]> {
    return this.perform(() =>
      [...this.objects.keys()].filter((name) => name.startsWith(prefix)).sort(),
    );
  }
}

export class FakeEngines {
  readonly streams = new Map<string, StreamState>();

  isSilent = false;

  cancels = 0;

  getState(_url: string, streamId: string): Promise<StreamState | undefined> {
    return this.isSilent ? new Promise(() => {}) : Promise.resolve(this.streams.get(streamId));
  }

  cancel(url: string, streamId: string): Promise<StreamState | undefined> {
    this.cancels += 1;
    const state = this.streams.get(streamId);
    if (state?.state === 'running') {
      this.streams.set(streamId, { ...state, state: 'cancelled' });
    }
    return this.getState(url, streamId);
  }
}

/** One daemon. A call of a killed one never ends; a call of a paused one waits until it goes on. */
export class FakeDaemon {
  readonly events: EventType[] = [];

  readonly ledger: ReplicatedUsageLedger;

  isKilled = false;

  calls = 0;

  bytes = 0;

  #pause: Promise<void> | undefined;

  #goOn: (() => void) | undefined;

  constructor(
    readonly member: Member,
    readonly cluster: FakeCluster,
    seed: number,
    settings: Partial<LedgerSettings>,
  ) {
    const { table, objectStore, engines } = cluster;
    this.ledger = new ReplicatedUsageLedger({
      self: member.incarnation,
      table: this.#gateAll(table, ['transact', 'read', 'scan']),
      objectStore: this.#gateAll(objectStore, ['put', 'get', 'delete', 'list']),
      engines: this.#gateAll(engines, ['getState', 'cancel']),
      transport: this.#createTransport(),
      membership: this.#createMembership(),
      timeline: { record: (type) => this.events.push(type) },
      logger: createSilentLogger(),
      random: createRandom(seed),
      settings,
    });
    this.ledger.start();
  }

  get isPaused(): boolean {
    return this.#pause !== undefined;
  }

  kill(): void {
    this.isKilled = true;
  }

  pause(): void {
    this.#pause = new Promise((resolve) => {
      this.#goOn = resolve;
    });
  }

  resume(): void {
    this.#pause = undefined;
    this.#goOn?.();
  }

  async gate<Result>(call: () => Promise<Result>): Promise<Result> {
    await this.#pass();
    try {
      return await call();
    } finally {
      await this.#pass();
    }
  }

  async #pass(): Promise<void> {
    await this.#pause;
    if (this.isKilled) {
      await new Promise(() => {});
    }
  }

  #gateAll<Client extends object>(client: Client, names: readonly (keyof Client)[]): Client {
    const gated = names.map((name) => [
      name,
      (...args: unknown[]) =>
        this.gate(() =>
          (client[name] as (...given: unknown[]) => Promise<unknown>).apply(client, args),
        ),
    ]);
    return Object.fromEntries(gated) as Client;
  }

  #createTransport(): PeerTransport {
    const replicate = (address: string, message: unknown): Promise<{ held: number }> =>
      this.gate(() => {
        const text = JSON.stringify(message);
        this.calls += 1;
        this.bytes += text.length;
        return this.cluster.deliver(address, text);
      });
    const getPeer = (address: string) => ({
      usage: { replicate: (message: unknown) => replicate(address, message) },
    });
    return { getPeer } as unknown as PeerTransport;
  }

  #createMembership(): MembershipView {
    const { cluster, member } = this;
    return {
      self: member,
      listAlive: () => cluster.listAlive(),
      isIncarnationAlive: (incarnation: string) =>
        cluster.listAlive().some((alive) => alive.incarnation === incarnation),
      getMember: (incarnation: string) => cluster.getMember(incarnation),
      onChange: (listener: (changed: Member) => void) => {
        cluster.listeners.add(listener);
        return () => cluster.listeners.delete(listener);
      },
    } as unknown as MembershipView;
  }
}

export class FakeCluster {
  readonly table = new FakeTable();

  readonly objectStore = new FakeObjectStore();

  readonly engines = new FakeEngines();

  readonly daemons: FakeDaemon[] = [];

  readonly listeners = new Set<(changed: Member) => void>();

  /** What membership says of those it does not hold alive. */
  readonly #states = new Map<string, Member['state']>();

  readonly #settings: Partial<LedgerSettings>;

  constructor(count: number, settings: Partial<LedgerSettings> = {}) {
    this.#settings = settings;
    Array.from({ length: count }, (_, index) => this.add(`vm${index + 1}`));
  }

  /** Starts a daemon; one at a dead one's name and address is another incarnation. */
  add(vm: string): FakeDaemon {
    const seed = this.daemons.length + 1;
    const member: Member = {
      vm,
      dataCentre: 'dc1',
      address: `${vm}:1`,
      incarnation: `${vm}#${seed}`,
      refutation: 0,
      state: 'alive',
    };
    const daemon = new FakeDaemon(member, this, seed, this.#settings);
    this.daemons.push(daemon);
    this.#notify(member);
    return daemon;
  }

  listAlive(): readonly Member[] {
    return this.daemons
      .map(({ member }) => ({ ...member, state: this.#states.get(member.incarnation) ?? 'alive' }))
      .filter(({ state }) => state === 'alive' || state === 'suspect');
  }

  getMember(incarnation: string): Member | undefined {
    const daemon = this.daemons.find(({ member }) => member.incarnation === incarnation);
    const state = this.#states.get(incarnation) ?? 'alive';
    return daemon && { ...daemon.member, state };
  }

  listLive(): readonly FakeDaemon[] {
    return this.daemons.filter((daemon) => !daemon.isKilled && !daemon.isPaused);
  }

  async deliver(address: string, text: string): Promise<{ held: number }> {
    const target = [...this.daemons].reverse().find(({ member }) => member.address === address);
    if (!target || target.isKilled) {
      throw new PeerUnreachableError(address);
    }
    const message = replicateUsageSchema.parse(JSON.parse(text));
    return target.gate(() => target.ledger.handlers.replicate(message));
  }

  /** The daemon that holds the copies of another. */
  getHolder(owner: FakeDaemon): FakeDaemon {
    return this.daemons.find(
      (daemon) => daemon !== owner && daemon.ledger.getHeldCount() > 0,
    ) as FakeDaemon;
  }

  /** Live daemons with copies of the owner's records. */
  listHolders(owner: FakeDaemon): readonly FakeDaemon[] {
    const { incarnation } = owner.member;
    return this.listLive().filter((daemon) => daemon.ledger.getHeldCount(incarnation) > 0);
  }

  kill(daemon: FakeDaemon): void {
    daemon.kill();
    this.#noticeLater(daemon, () => true);
  }

  /** Resolves with what the ledger's stop does, and leaves. */
  async stop(daemon: FakeDaemon): Promise<number> {
    const left = await daemon.ledger.stop();
    daemon.kill();
    this.#setState(daemon, 'left');
    return left;
  }

  pause(daemon: FakeDaemon): void {
    daemon.pause();
    this.#noticeLater(daemon, () => daemon.isPaused);
  }

  resume(daemon: FakeDaemon): void {
    daemon.resume();
    this.#setState(daemon, 'alive');
  }

  async readEntries(): Promise<readonly UsageEntry[]> {
    return new TableLedgerReader(this).listEntries({});
  }

  #noticeLater(daemon: FakeDaemon, isStillSo: () => boolean): void {
    const say = (state: Member['state']): void => {
      if (isStillSo()) {
        this.#setState(daemon, state);
      }
    };
    setTimeout(() => say('suspect'), SUSPECTED_MS);
    setTimeout(() => say('dead'), DEATH_NOTICED_MS);
  }

  #setState(daemon: FakeDaemon, state: Member['state']): void {
    this.#states.set(daemon.member.incarnation, state);
    this.#notify({ ...daemon.member, state });
  }

  #notify(member: Member): void {
    this.listeners.forEach((listener) => listener(member));
  }
}

export const createStream = (streamId: string): UsageStream => ({
  streamId,
  upstream: 'worker1',
  upstreamUrl: 'http://127.0.0.1:1',
  version: 'small@1',
  inputMicroUsdPerMillionTokens: 1_000_000,
  outputMicroUsdPerMillionTokens: 2_000_000,
});

/** An open record with one run, whose stream has the request's name. */
export const createUsage = (requestId: string, requestKey = requestId): OpenUsage => ({
  requestId,
  requestKey,
  team: 'studio',
  teamUid: 'uid1',
  openedAtMs: Date.now(),
  streams: [createStream(requestId)],
});

export const createSettlement = (
  requestId: string,
  completionTokens: number,
  outcome: Settlement['outcome'] = 'answered',
): Settlement => ({
  outcome,
  lines: [createUsageLine(createStream(requestId), 10, completionTokens)],
});

/** An engine's account of a run with ten prompt tokens. */
export const createState = (
  state: StreamState['state'],
  completionTokens: number,
): StreamState => ({ state, promptTokens: 10, completionTokens, chunks: completionTokens });

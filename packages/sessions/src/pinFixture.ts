/**
 * A test fixture of daemons with pin directories, over a shared fake table and an in-memory
 * transport.
 */
import {
  createSilentLogger,
  rankByRendezvous,
  setInvariantsFatal,
  sleep,
} from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import {
  PlatformRefusedError,
  type TableClient,
  type TableRow,
  type TableTransaction,
  type TransactionResult,
} from '@snipehaven/platform';
import {
  PeerUnreachableError,
  type Member,
  type PeerHandlers,
  type SessionHandlers,
} from '@snipehaven/protocol';
import type { EventType } from '@snipehaven/timeline';
import { getBucket, getBucketKey, getSessionKey } from './pinRow.js';
import { DEFAULT_PIN_SETTINGS } from './constants.js';
import { ReplicatedPinDirectory } from './replicatedPinDirectory.js';
import type { Pin } from './types.js';

const LATENCY_MS = 2;

/** The platform's table, with configurable read latency. */
export class FakePinTable implements TableClient {
  readonly rows = new Map<string, TableRow>();

  writeCount = 0;

  readCount = 0;

  readDelayMs = LATENCY_MS;

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    await sleep(LATENCY_MS);
    return transactions.map((transaction) => this.#apply(transaction));
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    await sleep(this.readDelayMs);
    this.readCount += keys.length;
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  async scan(): Promise<readonly TableRow[]> {
    return [];
  }

  #apply({ conditions, writes }: TableTransaction): TransactionResult {
    const isMet = conditions.every(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) === version,
    );
    if (!isMet) {
      return { kind: 'conflict', rows: [] };
    }
    this.writeCount += writes.length;
    writes.forEach(({ key, value }) => {
      this.rows.set(key, { key, value, version: (this.rows.get(key)?.version ?? 0) + 1 });
    });
    return { kind: 'committed', versions: [] };
  }
}

interface Daemon {
  readonly member: Member;
  readonly directory: ReplicatedPinDirectory;
  readonly listeners: Set<(member: Member) => void>;
}

export class PinFixture {
  readonly table = new FakePinTable();

  readonly events: EventType[] = [];

  readonly daemons = new Map<string, Daemon>();

  /** Members that do not respond. */
  readonly unresponsive = new Set<string>();

  readonly cutFromTable = new Set<string>();

  /** Members that the membership layer has detected as dead. */
  readonly detectedDead = new Set<string>();

  constructor() {
    setInvariantsFatal(true);
  }

  add(name: string, dataCentre = 'dc1'): ReplicatedPinDirectory {
    const member: Member = {
      vm: name,
      dataCentre,
      address: name,
      incarnation: `${name}#1`,
      refutation: 0,
      state: 'alive',
    };
    const listeners = new Set<(changed: Member) => void>();
    const directory = new ReplicatedPinDirectory({
      membership: this.#createView(member, listeners),
      transport: { getPeer: (address) => this.#getPeer(name, address) },
      table: this.#createTableClient(name),
      timeline: { record: (type) => this.events.push(type) },
      logger: createSilentLogger(),
    });
    this.daemons.set(name, { member, directory, listeners });
    this.#notifyListeners(member);
    directory.start();
    return directory;
  }

  /**
   * Names of all daemons in order of rank for the session's bucket in a data centre: the owner, the
   * replica, then the others.
   */
  getHolders(pin: Pin, dataCentre = 'dc1'): readonly string[] {
    const bucket = getBucket(
      getSessionKey(pin.teamUid, pin.session),
      DEFAULT_PIN_SETTINGS.bucketCount,
    );
    return this.#rank(getBucketKey(bucket), dataCentre).map(({ vm }) => vm);
  }

  get(name: string): ReplicatedPinDirectory {
    return this.daemons.get(name)!.directory;
  }

  /** The daemon dies without the others detecting it; its table writes fail too. */
  kill(name: string): void {
    this.unresponsive.add(name);
    this.cutFromTable.add(name);
  }

  detectDeath(name: string): void {
    this.detectedDead.add(name);
    this.#notifyListeners(this.daemons.get(name)!.member);
  }

  /** Members of other data centres are not ranked. */
  #rank(key: string, dataCentre: string): readonly Member[] {
    const local = [...this.daemons.values()]
      .map(({ member }) => member)
      .filter((member) => member.dataCentre === dataCentre && !this.detectedDead.has(member.vm));
    const names = local.map(({ vm }) => vm);
    return rankByRendezvous(key, names).map((vm) => this.daemons.get(vm)!.member);
  }

  #createView(
    self: Member,
    listeners: Set<(member: Member) => void>,
  ): Pick<MembershipView, 'self' | 'rankLocal' | 'listAlive' | 'onChange'> {
    return {
      self,
      rankLocal: (key) => this.#rank(key, self.dataCentre),
      listAlive: () => [...this.daemons.values()].map(({ member }) => member),
      onChange: (listener) => {
        listeners.add(listener);
        return () => listeners.delete(listener);
      },
    };
  }

  #createTableClient(name: string): TableClient {
    const callIfReachable = async <Answer>(call: () => Promise<Answer>): Promise<Answer> => {
      if (this.cutFromTable.has(name)) {
        throw new PlatformRefusedError('cut off');
      }
      return call();
    };
    return {
      transact: (transactions) => callIfReachable(() => this.table.transact(transactions)),
      read: (keys) => callIfReachable(() => this.table.read(keys)),
      scan: () => callIfReachable(() => this.table.scan()),
    };
  }

  #notifyListeners(member: Member): void {
    this.daemons.forEach(({ listeners }) => listeners.forEach((listener) => listener(member)));
  }

  #getPeer(from: string, to: string): PeerHandlers {
    const { handlers } = this.get(to);
    const call =
      <Input, Output>(run: (input: Input) => Promise<Output>) =>
      async (input: Input): Promise<Output> => {
        await sleep(1);
        if (this.unresponsive.has(to) || this.unresponsive.has(from)) {
          await sleep(1_000);
          throw new PeerUnreachableError(to);
        }
        return run(input);
      };
    const sessions: SessionHandlers = {
      getPin: call(handlers.getPin),
      putPin: call(handlers.putPin),
    };
    return { sessions } as PeerHandlers;
  }
}

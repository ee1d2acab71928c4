/**
 * In-memory store with tables, feeds that wait, outages, returns from a copy, and call counts per
 * daemon.
 */
import { sleep } from '@snipehaven/common';
import { HistoryGoneError, StoreUnavailableError } from '../../errors.js';
import type {
  EraObserver,
  RowStore,
  StoreChange,
  StorePage,
  StoreRow,
  WriteResult,
} from '../types.js';

const POLL_MS = 5;
const LATENCY_MS = 4;
const DEFAULT_TABLE = 'upstreams';

/** Time-out of a client's call, after the wait that it asked for. */
const CALL_TIMEOUT_MS = 900;

type TableChange = StoreChange & { readonly table: string };

/** The store's state at one moment. */
export interface StoreCopy {
  readonly version: number;
  readonly rows: ReadonlyMap<string, ReadonlyMap<string, StoreRow>>;
  readonly history: readonly TableChange[];
}

export class MemoryStore {
  #version = 100;

  #era = 1;

  readonly #rows = new Map<string, Map<string, StoreRow>>();

  readonly #history: TableChange[] = [];

  /** Feeds that ask for changes after an older version are refused. */
  #oldestVersion = 0;

  /** Keyed by VM. */
  readonly calls = new Map<string, number>();

  /** VMs whose calls are rejected. */
  readonly rejectedVms = new Set<string>();

  /** VMs whose feed requests are never answered. */
  readonly unresponsiveVms = new Set<string>();

  /** VMs whose calls are lost on the way, so that they fail only at their time-out. */
  readonly cutOffVms = new Set<string>();

  isDown = false;

  put(key: string, table = DEFAULT_TABLE, value = key): void {
    this.#version += 1;
    const row = { key, value, era: this.#era, version: this.#version };
    this.#getRows(table).set(key, row);
    this.#history.push({ ...row, table });
  }

  remove(key: string, table = DEFAULT_TABLE): void {
    this.#version += 1;
    this.#getRows(table).delete(key);
    this.#history.push({ key, era: this.#era, version: this.#version, table });
  }

  /** Raises the version as a heartbeat or a change in another table does. */
  raiseVersion(): void {
    this.#version += 1;
  }

  dropHistory(): void {
    this.#history.length = 0;
    this.#oldestVersion = this.#version;
  }

  takeCopy(): StoreCopy {
    const rows = new Map([...this.#rows].map(([table, byKey]) => [table, new Map(byKey)]));
    return { version: this.#version, rows, history: [...this.#history] };
  }

  /** Comes back from a copy: later changes are lost, and calls that are held fail. */
  restore({ version, rows, history }: StoreCopy): void {
    this.#era += 1;
    this.#version = version;
    this.#rows.clear();
    rows.forEach((byKey, table) => this.#rows.set(table, new Map(byKey)));
    this.#history.splice(0, Infinity, ...history);
  }

  listRows(table: string): ReadonlyMap<string, string> {
    return new Map([...this.#getRows(table).values()].map(({ key, value }) => [key, value]));
  }

  getCalls(vm: string): number {
    return this.calls.get(vm) ?? 0;
  }

  get allCalls(): number {
    return [...this.calls.values()].reduce((sum, calls) => sum + calls, 0);
  }

  createClient(vm: string, onEra: EraObserver = () => {}): RowStore {
    const call = async (): Promise<void> => {
      this.calls.set(vm, this.getCalls(vm) + 1);
      await sleep(LATENCY_MS);
      await this.#loseIfCutOff(vm, CALL_TIMEOUT_MS);
      this.#check(vm);
      onEra(this.#era);
    };
    return {
      readRows: async (table) => {
        await call();
        return this.#page([...this.#getRows(table).values()].map((row) => this.#stamp(row)));
      },
      readChanges: async (table, after, waitMs) => {
        await call();
        const endAtMs = performance.now() + waitMs;
        const era = this.#era;
        let items = this.#listChanges(table, after);
        while (
          this.unresponsiveVms.has(vm) ||
          (items.length === 0 && performance.now() < endAtMs)
        ) {
          await sleep(POLL_MS);
          await this.#loseIfCutOff(vm, endAtMs + CALL_TIMEOUT_MS - performance.now());
          this.#check(vm);
          if (era !== this.#era) {
            throw new StoreUnavailableError('connection reset');
          }
          items = this.#listChanges(table, after);
        }
        return this.#page(items);
      },
      write: (): Promise<WriteResult> => Promise.resolve({ isWritten: false, era: this.#era }),
      remove: (): Promise<void> => Promise.resolve(),
      close: () => {},
    };
  }

  async #loseIfCutOff(vm: string, timeoutMs: number): Promise<void> {
    if (this.cutOffVms.has(vm)) {
      await sleep(timeoutMs);
      throw new StoreUnavailableError('call timed out');
    }
  }

  #check(vm: string): void {
    if (this.isDown || this.rejectedVms.has(vm)) {
      throw new StoreUnavailableError('VM rejected by the store');
    }
  }

  #getRows(table: string): Map<string, StoreRow> {
    const rows = this.#rows.get(table) ?? new Map<string, StoreRow>();
    this.#rows.set(table, rows);
    return rows;
  }

  #listChanges(table: string, after: number): StoreChange[] {
    if (after < this.#oldestVersion || after > this.#version) {
      throw new HistoryGoneError('the store has no history after this version');
    }
    const changes = this.#history.filter((one) => one.table === table && one.version > after);
    return changes.map(({ table: _table, ...change }) => this.#stamp(change));
  }

  /** A row that is read names the era of the answer, whenever it was written. */
  #stamp<Item extends StoreChange>(item: Item): Item {
    return { ...item, era: this.#era };
  }

  #page<Item>(items: readonly Item[]): StorePage<Item> {
    return { items, era: this.#era, version: this.#version, serverTimeMs: performance.now() };
  }
}

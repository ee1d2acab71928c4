/** A table in memory for tests, which can lose a reply or hold a write back. */
import {
  PlatformOutcomeUnknownError,
  PlatformRefusedError,
  type TableClient,
  type TableRow,
  type TableTransaction,
  type TransactionResult,
} from '@snipehaven/platform';

/**
 * `lostReply`: done, and nobody hears of it. `lateWrite`: takes effect when told to by `arrive`. `slowReply`:
 * done at once, the reply comes by `arrive`.
 */
type WriteFault = 'none' | 'lostReply' | 'lateWrite' | 'slowReply';

export class FakeTable implements TableClient {
  readonly #rows = new Map<string, TableRow>();

  #late: (() => void)[] = [];

  #nextFault: WriteFault = 'none';

  #isAway = false;

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    this.#checkAway();
    const fault = this.#nextFault;
    this.#nextFault = 'none';
    if (fault === 'lateWrite') {
      this.#late.push(() => transactions.forEach((transaction) => this.#commit(transaction)));
      throw new PlatformOutcomeUnknownError('timed out');
    }
    const results = transactions.map((transaction) => this.#commit(transaction));
    if (fault === 'lostReply') {
      throw new PlatformOutcomeUnknownError('timed out');
    }
    if (fault === 'slowReply') {
      await new Promise<void>((resolve) => {
        this.#late.push(resolve);
      });
    }
    return results;
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    this.#checkAway();
    return keys.flatMap((key) => this.#rows.get(key) ?? []);
  }

  async scan(): Promise<readonly TableRow[]> {
    return [...this.#rows.values()];
  }

  /** Decides what happens to the next write. */
  failNext(fault: WriteFault): void {
    this.#nextFault = fault;
  }

  /** Whether all calls are refused from now on. */
  setAway(isAway: boolean): void {
    this.#isAway = isAway;
  }

  /** Lets what was held back happen. */
  arrive(): void {
    this.#late.splice(0).forEach((step) => step());
  }

  /** Puts a row in place whatever was there. */
  put(key: string, value: unknown): void {
    this.#rows.set(key, { key, value, version: (this.#rows.get(key)?.version ?? 0) + 1 });
  }

  #checkAway(): void {
    if (this.#isAway) {
      throw new PlatformRefusedError('away');
    }
  }

  #commit({ conditions, writes }: TableTransaction): TransactionResult {
    const find = (key: string): TableRow => this.#rows.get(key) ?? { key, value: null, version: 0 };
    if (conditions.some(({ key, version }) => find(key).version !== version)) {
      return { kind: 'conflict', rows: conditions.map(({ key }) => find(key)) };
    }
    writes.forEach(({ key, value }) => this.put(key, value));
    return {
      kind: 'committed',
      versions: writes.map(({ key }) => ({ key, version: find(key).version })),
    };
  }
}

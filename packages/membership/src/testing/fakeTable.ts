/** In-memory table for tests that can lose replies and delay writes. */
import {
  PlatformOutcomeUnknownError,
  PlatformRefusedError,
  type TableClient,
  type TableRow,
  type TableTransaction,
  type TransactionResult,
} from '@snipehaven/platform';

/**
 * `lostReply`: applied, but the reply is lost. `lateWrite`: applied when `arrive` is called.
 * `slowReply`: applied at once, and the reply is sent when `arrive` is called.
 */
type WriteFault = 'none' | 'lostReply' | 'lateWrite' | 'slowReply';

export class FakeTable implements TableClient {
  readonly #rows = new Map<string, TableRow>();

  #pending: (() => void)[] = [];

  #nextFault: WriteFault = 'none';

  #isUnavailable = false;

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    this.#checkAvailable();
    const fault = this.#nextFault;
    this.#nextFault = 'none';
    if (fault === 'lateWrite') {
      this.#pending.push(() => transactions.forEach((transaction) => this.#commit(transaction)));
      throw new PlatformOutcomeUnknownError('timed out');
    }
    const results = transactions.map((transaction) => this.#commit(transaction));
    if (fault === 'lostReply') {
      throw new PlatformOutcomeUnknownError('timed out');
    }
    if (fault === 'slowReply') {
      await new Promise<void>((resolve) => {
        this.#pending.push(resolve);
      });
    }
    return results;
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    this.#checkAvailable();
    return keys.flatMap((key) => this.#rows.get(key) ?? []);
  }

  async scan(): Promise<readonly TableRow[]> {
    return [...this.#rows.values()];
  }

  /** Sets the fault of the next write. */
  failNext(fault: WriteFault): void {
    this.#nextFault = fault;
  }

  /** Sets whether all calls are refused. */
  setAway(isAway: boolean): void {
    this.#isUnavailable = isAway;
  }

  /** Completes the delayed writes and replies. */
  arrive(): void {
    this.#pending.splice(0).forEach((step) => step());
  }

  /** Replaces a row, whatever its version. */
  put(key: string, value: unknown): void {
    this.#rows.set(key, { key, value, version: (this.#rows.get(key)?.version ?? 0) + 1 });
  }

  #checkAvailable(): void {
    if (this.#isUnavailable) {
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

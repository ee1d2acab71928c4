/** In-memory table for tests, which can simulate outages, lost replies and concurrent writes. */
import {
  PlatformOutcomeUnknownError,
  PlatformRefusedError,
  type ScanOptions,
  type TableClient,
  type TableRow,
  type TableTransaction,
  type TransactionResult,
} from '@snipehaven/platform';

type TransactListener = (transactions: readonly TableTransaction[]) => Promise<void>;

const copy = <Value>(value: Value): Value => structuredClone(value);

export class FakeTable implements TableClient {
  readonly #rows = new Map<string, TableRow>();

  /** While true, all calls are refused. */
  #isUnavailable = false;

  /**
   * The next `count` transactions that write a key with the prefix take effect, but their reply is
   * lost.
   */
  #lostReplies = { prefix: '', count: 0 };

  #beforeTransact: TransactListener = () => Promise.resolve();

  #calls = 0;

  get calls(): number {
    return this.#calls;
  }

  setUnavailable(isUnavailable: boolean): void {
    this.#isUnavailable = isUnavailable;
  }

  loseReplies(prefix: string, count: number): void {
    this.#lostReplies = { prefix, count };
  }

  /**
   * Sets a function that runs before each transaction takes effect; the transaction waits for its
   * promise.
   */
  beforeTransact(listener: TransactListener): void {
    this.#beforeTransact = listener;
  }

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    this.#checkAvailable();
    await this.#beforeTransact(transactions);
    const results = transactions.map((transaction) => this.#run(transaction));
    const isHit = transactions.some(({ writes }) =>
      writes.some(({ key }) => key.startsWith(this.#lostReplies.prefix)),
    );
    if (isHit && this.#lostReplies.count > 0) {
      this.#lostReplies.count -= 1;
      throw new PlatformOutcomeUnknownError('the reply was lost');
    }
    return copy(results);
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    this.#checkAvailable();
    return copy(keys.flatMap((key) => this.#rows.get(key) ?? []));
  }

  async scan({ prefix, afterKey = '', limit }: ScanOptions): Promise<readonly TableRow[]> {
    this.#checkAvailable();
    const rows = [...this.#rows.values()].filter(
      ({ key }) => key.startsWith(prefix) && key > afterKey,
    );
    return copy(rows.sort((a, b) => (a.key < b.key ? -1 : 1)).slice(0, limit));
  }

  #checkAvailable(): void {
    this.#calls += 1;
    if (this.#isUnavailable) {
      throw new PlatformRefusedError('the table is unavailable');
    }
  }

  #find(key: string): TableRow {
    return this.#rows.get(key) ?? { key, value: null, version: 0 };
  }

  #run({ conditions, writes }: TableTransaction): TransactionResult {
    if (conditions.some(({ key, version }) => this.#find(key).version !== version)) {
      return { kind: 'conflict', rows: copy(conditions.map(({ key }) => this.#find(key))) };
    }
    const versions = writes.map(({ key, value }) => {
      const version = this.#find(key).version + 1;
      this.#rows.set(key, { key, value: copy(value), version });
      return { key, version };
    });
    return { kind: 'committed', versions };
  }
}

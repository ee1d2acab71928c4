/** In-memory table for tests that can simulate every failure of the real one. */
import { sleep } from '@snipehaven/common';
import { PlatformOutcomeUnknownError, PlatformRefusedError } from '@snipehaven/platform';
import type {
  ScanOptions,
  TableClient,
  TableRow,
  TableTransaction,
  TransactionResult,
} from '@snipehaven/platform';

/** Simulated result of one `transact` call. */
export type TableFault =
  'none' | 'refused' | 'rateLimited' | 'replyLost' | 'requestLost' | 'appliedLate';

type Apply = () => readonly TransactionResult[];

const LATE_MS = 3_000;
const REPLY_TIMEOUT_MS = 200;
const RATE_LIMIT_RETRY_MS = 400;

export class FakeTable implements TableClient {
  readonly rows = new Map<string, TableRow>();

  /** Applied to the next `transact` calls in order, one fault per call. */
  readonly faults: TableFault[] = [];

  #outage: TableFault | undefined;

  #latencyMs = 2;

  writeCount = 0;

  callCount = 0;

  /** Never decreases, so that a row recreated after a delete gets a higher version, as in the real table. */
  #lastVersion = 0;

  readonly #outcomes: Record<TableFault, (apply: Apply) => Promise<readonly TransactionResult[]>> =
    {
      none: async (apply) => apply(),
      refused: async () => {
        throw new PlatformRefusedError('away');
      },
      rateLimited: async () => {
        throw new PlatformRefusedError('429', { retryAfterMs: RATE_LIMIT_RETRY_MS });
      },
      replyLost: async (apply) => {
        apply();
        return FakeTable.#timeOut();
      },
      requestLost: () => FakeTable.#timeOut(),
      appliedLate: (apply) => {
        setTimeout(apply, LATE_MS);
        return FakeTable.#timeOut();
      },
    };

  /** Applies the fault to every call until reset with `undefined`. */
  setOutage(outage: TableFault | undefined): void {
    this.#outage = outage;
  }

  setLatency(latencyMs: number): void {
    this.#latencyMs = latencyMs;
  }

  async transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]> {
    const fault = this.#outage ?? this.faults.shift() ?? 'none';
    await sleep(this.#latencyMs);
    this.callCount += 1;
    return this.#outcomes[fault](() => transactions.map((one) => this.#apply(one)));
  }

  async read(keys: readonly string[]): Promise<readonly TableRow[]> {
    await this.#pass();
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  async scan({ prefix, afterKey = '', limit }: ScanOptions): Promise<readonly TableRow[]> {
    await this.#pass();
    return [...this.rows.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > afterKey)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, limit);
  }

  static async #timeOut(): Promise<never> {
    await sleep(REPLY_TIMEOUT_MS);
    throw new PlatformOutcomeUnknownError('no reply');
  }

  async #pass(): Promise<void> {
    await sleep(this.#latencyMs);
    if (this.#outage) {
      throw new PlatformRefusedError('away');
    }
  }

  #apply({ conditions, writes }: TableTransaction): TransactionResult {
    this.writeCount += writes.length;
    const isMet = conditions.every(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) === version,
    );
    if (!isMet) {
      return { kind: 'conflict', rows: conditions.flatMap(({ key }) => this.rows.get(key) ?? []) };
    }
    return { kind: 'committed', versions: writes.map(({ key, value }) => this.#write(key, value)) };
  }

  #write(key: string, value: unknown): { key: string; version: number } {
    if (value === null) {
      this.rows.delete(key);
      return { key, version: 0 };
    }
    this.#lastVersion += 1;
    this.rows.set(key, { key, value: structuredClone(value), version: this.#lastVersion });
    return { key, version: this.#lastVersion };
  }
}

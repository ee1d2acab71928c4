/** Core of the table service: rows with versions, conditional transactions, rate limits. */
import { createRandom, type Random } from '@snipehaven/common';
import {
  DEFAULT_BURST_SECONDS,
  DEFAULT_READS_PER_SECOND,
  DEFAULT_WRITES_PER_SECOND,
  LOCAL_CLIENT,
  MAX_SCAN_LIMIT,
} from './constants.js';
import { RateLimitedError } from './errors.js';
import { FaultGate, type GateTruth } from './faultGate.js';
import { SortedKeys } from './sortedKeys.js';
import { TokenBucket } from './tokenBucket.js';

/** A row; `version` counts its writes from 1. */
export interface TableRow {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Holds when the row has this version; 0 means that the row is absent. */
export interface TableCondition {
  readonly key: string;
  readonly version: number;
}

/** A null value deletes the row. */
export interface TableWrite {
  readonly key: string;
  readonly value: unknown;
}

export interface TableTransaction {
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

export type TransactionResult =
  | { readonly kind: 'committed'; readonly versions: readonly TableCondition[] }
  | { readonly kind: 'conflict'; readonly rows: readonly TableRow[] };

export interface TableScan {
  readonly prefix: string;
  readonly afterKey?: string | undefined;
  readonly limit: number;
}

export interface TableOptions {
  readonly writesPerSecond?: number | undefined;
  readonly readsPerSecond?: number | undefined;
  /** How many seconds' worth of calls pass in one burst. */
  readonly burstSeconds?: number | undefined;
  readonly random?: Random | undefined;
}

export interface TableTruth {
  readonly gate: GateTruth;
  readonly rowCount: number;
  readonly commits: number;
  readonly conflicts: number;
  /** Units counted against the rate limits. */
  readonly writeUnits: number;
  readonly readUnits: number;
  readonly rateLimitedCalls: number;
  /** Rows written by the part of their key before the first `/`. */
  readonly writesByPrefix: Readonly<Record<string, number>>;
}

const isObject = (value: unknown): boolean => typeof value === 'object' && value !== null;

/** Callers in the same process must not share a stored value with the table. */
const copyValue = (value: unknown): unknown => (isObject(value) ? structuredClone(value) : value);

const copyRow = (row: TableRow): TableRow => ({ ...row, value: copyValue(row.value) });

const getPrefix = (key: string): string => key.split('/', 1)[0] ?? key;

/** The table, usable in-process; all calls pass the fault gate. */
export class TableCore {
  readonly gate: FaultGate;

  readonly #rows = new Map<string, TableRow>();

  /** The last versions of deleted rows, so that a row made anew never repeats a version. */
  readonly #deletedVersions = new Map<string, number>();

  readonly #keys = new SortedKeys();

  readonly #writeLimit: TokenBucket;

  readonly #readLimit: TokenBucket;

  readonly #writesByPrefix = new Map<string, number>();

  #commits = 0;

  #conflicts = 0;

  #writeUnits = 0;

  #readUnits = 0;

  #rateLimitedCalls = 0;

  constructor(options: TableOptions = {}) {
    const writesPerSecond = options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
    const readsPerSecond = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
    const burstSeconds = options.burstSeconds ?? DEFAULT_BURST_SECONDS;
    this.gate = new FaultGate(options.random ?? createRandom(1));
    this.#writeLimit = new TokenBucket(writesPerSecond, writesPerSecond * burstSeconds);
    this.#readLimit = new TokenBucket(readsPerSecond, readsPerSecond * burstSeconds);
  }

  /** Applies the transactions in order, each on its own; over the rate limit does nothing. */
  transact(
    transactions: readonly TableTransaction[],
    client: string = LOCAL_CLIENT,
  ): Promise<readonly TransactionResult[]> {
    return this.gate.run(client, () => {
      const units = transactions.reduce((sum, { writes }) => sum + Math.max(1, writes.length), 0);
      this.#takeUnits(this.#writeLimit, units);
      this.#writeUnits += units;
      return transactions.map((transaction) => this.#apply(transaction));
    });
  }

  /** The present rows of the keys, absent ones left out. */
  read(keys: readonly string[], client: string = LOCAL_CLIENT): Promise<readonly TableRow[]> {
    return this.gate.run(client, () => {
      this.#takeReadUnits(keys.length);
      return this.#getRows(keys);
    });
  }

  /** A page of rows whose keys start with the prefix, in key order. */
  scan(scan: TableScan, client: string = LOCAL_CLIENT): Promise<readonly TableRow[]> {
    return this.gate.run(client, () => {
      this.#takeReadUnits(1);
      const limit = Math.min(scan.limit, MAX_SCAN_LIMIT);
      return this.#getRows(this.#keys.list(scan.prefix, scan.afterKey, limit));
    });
  }

  /** All rows as they are, past faults and limits; for oracles. */
  peek(prefix = ''): readonly TableRow[] {
    return this.#getRows(this.#keys.list(prefix, undefined, this.#rows.size));
  }

  setRates(writesPerSecond: number, readsPerSecond: number): void {
    this.#writeLimit.setRate(writesPerSecond, writesPerSecond);
    this.#readLimit.setRate(readsPerSecond, readsPerSecond);
  }

  getTruth(): TableTruth {
    return {
      gate: this.gate.getTruth(),
      rowCount: this.#rows.size,
      commits: this.#commits,
      conflicts: this.#conflicts,
      writeUnits: this.#writeUnits,
      readUnits: this.#readUnits,
      rateLimitedCalls: this.#rateLimitedCalls,
      writesByPrefix: Object.fromEntries(this.#writesByPrefix),
    };
  }

  #takeReadUnits(units: number): void {
    this.#takeUnits(this.#readLimit, units);
    this.#readUnits += units;
  }

  #takeUnits(limit: TokenBucket, units: number): void {
    try {
      limit.take(units);
    } catch (error) {
      if (error instanceof RateLimitedError) {
        this.#rateLimitedCalls += 1;
      }
      throw error;
    }
  }

  #apply(transaction: TableTransaction): TransactionResult {
    const isMet = transaction.conditions.every(
      ({ key, version }) => (this.#rows.get(key)?.version ?? 0) === version,
    );
    if (!isMet) {
      this.#conflicts += 1;
      const keys = new Set(transaction.conditions.map(({ key }) => key));
      return { kind: 'conflict', rows: this.#getRows([...keys]) };
    }
    this.#commits += 1;
    return { kind: 'committed', versions: transaction.writes.map((write) => this.#write(write)) };
  }

  #write({ key, value }: TableWrite): TableCondition {
    const prefix = getPrefix(key);
    this.#writesByPrefix.set(prefix, (this.#writesByPrefix.get(prefix) ?? 0) + 1);
    return value === null ? this.#delete(key) : this.#put(key, value);
  }

  #put(key: string, value: unknown): TableCondition {
    const existing = this.#rows.get(key);
    const version = (existing?.version ?? this.#deletedVersions.get(key) ?? 0) + 1;
    if (!existing) {
      this.#keys.add(key);
      this.#deletedVersions.delete(key);
    }
    this.#rows.set(key, { key, value: copyValue(value), version });
    return { key, version };
  }

  #delete(key: string): TableCondition {
    const existing = this.#rows.get(key);
    if (existing) {
      this.#deletedVersions.set(key, existing.version);
      this.#rows.delete(key);
      this.#keys.delete(key);
    }
    return { key, version: 0 };
  }

  #getRows(keys: readonly string[]): readonly TableRow[] {
    return keys
      .map((key) => this.#rows.get(key))
      .filter((row) => row !== undefined)
      .map(copyRow);
  }
}

/** What the platform offers, as interfaces that the fakes of tests implement too. */

/** A row of the table service. `version` counts its writes; 0 stands for an absent row. */
export interface TableRow {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Holds when the row's present version is the given one; 0 means absent. */
export interface TableCondition {
  readonly key: string;
  readonly version: number;
}

/** A value of null deletes the row. */
export interface TableWrite {
  readonly key: string;
  readonly value: unknown;
}

export interface TableTransaction {
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

export interface TableCommitted {
  readonly kind: 'committed';
  readonly versions: readonly TableCondition[];
}

/** Nothing was written; `rows` are the present rows of all conditions. */
export interface TableConflict {
  readonly kind: 'conflict';
  readonly rows: readonly TableRow[];
}

export type TransactionResult = TableCommitted | TableConflict;

export interface ScanOptions {
  readonly prefix: string;
  readonly afterKey?: string;
  readonly limit: number;
}

/**
 * The transactional table service. Methods throw `PlatformRefusedError` when nothing was done
 * and `PlatformOutcomeUnknownError` when a write may have taken effect.
 */
export interface TableClient {
  /** Runs each transaction atomically, independent of the others. */
  transact(transactions: readonly TableTransaction[]): Promise<readonly TransactionResult[]>;
  /** Reads rows; absent ones are left out. */
  read(keys: readonly string[]): Promise<readonly TableRow[]>;
  /** Reads rows with the prefix in key order. */
  scan(options: ScanOptions): Promise<readonly TableRow[]>;
}

export interface ObjectStoreClient {
  put(name: string, bytes: Uint8Array): Promise<void>;
  get(name: string): Promise<Uint8Array | undefined>;
  delete(name: string): Promise<void>;
  list(prefix: string): Promise<readonly string[]>;
}

export interface ListedVm {
  readonly name: string;
  readonly role: 'entry' | 'upstream';
  readonly dataCentre: string;
  /** `ip:port` of the inner protocol for entry VMs, of the service for upstream VMs. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

export interface VmListClient {
  list(): Promise<readonly ListedVm[]>;
}

export interface RatingRequest {
  readonly id: string;
  readonly team: string;
  readonly task: string;
  readonly version: string;
  readonly prompt: string;
  readonly answer: string;
}

export interface Rating {
  readonly seq: number;
  readonly id: string;
  readonly team: string;
  readonly task: string;
  readonly version: string;
  /** 0 to 1. */
  readonly score: number;
}

export interface RatingPage {
  readonly ratings: readonly Rating[];
  readonly lastSeq: number;
}

export interface RaterClient {
  submit(ratings: readonly RatingRequest[]): Promise<void>;
  /** Rates one answer in line; resolves with its score. */
  rate(rating: RatingRequest, timeoutMs: number): Promise<number>;
  fetchRatings(afterSeq: number, limit: number): Promise<RatingPage>;
}

export interface WeightStoreClient {
  getSizeBytes(version: string): Promise<number>;
}

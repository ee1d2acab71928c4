/** Reads and writes lease rows, and determines the outcome of writes whose reply was lost. */
import {
  PlatformOutcomeUnknownError,
  type TableClient,
  type TableRow,
  type TransactionResult,
} from '@snipehaven/platform';
import { getLeaseKey, restoreLeaseRow, type LeaseRow, type VersionedLeaseRow } from './leaseRow.js';

/** The row as decided by a writer, without the fields that are added when it is written. */
export type LeaseDraft = Omit<LeaseRow, 'token'>;

/**
 * `changed`: nothing was written because the row had a different version; the current row is
 * included.
 */
export type LeaseWriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'changed'; readonly row: VersionedLeaseRow };

const restoreRow = (name: string, row: TableRow | undefined): VersionedLeaseRow =>
  row === undefined || row.version === 0
    ? { version: 0, value: undefined }
    : { version: row.version, value: restoreLeaseRow(name, row.value) };

const toWriteResult = (name: string, result: TransactionResult | undefined): LeaseWriteResult =>
  result?.kind === 'committed'
    ? { kind: 'written', version: result.versions[0]?.version ?? 0 }
    : { kind: 'changed', row: restoreRow(name, result?.rows[0]) };

export class LeaseTable {
  readonly #table: TableClient;

  readonly #writer: string;

  #writeCount = 0;

  constructor(table: TableClient, writer: string) {
    this.#table = table;
    this.#writer = writer;
  }

  async read(name: string): Promise<VersionedLeaseRow> {
    const [row] = await this.#table.read([getLeaseKey(name)]);
    return restoreRow(name, row);
  }

  /** Writes the row if it still has the given version. Throws the platform's errors. */
  async write(name: string, version: number, draft: LeaseDraft): Promise<LeaseWriteResult> {
    const key = getLeaseKey(name);
    this.#writeCount += 1;
    const value: LeaseRow = { ...draft, token: `${this.#writer}/${this.#writeCount}` };
    const transaction = { conditions: [{ key, version }], writes: [{ key, value }] };
    try {
      const [result] = await this.#table.transact([transaction]);
      return toWriteResult(name, result);
    } catch (error) {
      if (error instanceof PlatformOutcomeUnknownError) {
        return this.#readBack(name, version, value.token, error);
      }
      throw error;
    }
  }

  /**
   * The table may have applied a write whose reply was lost. If this were treated as a failure,
   * nobody would hold the lease until it expired, and its duty would not be performed. Reading the
   * row back decides: it carries the token of the write, or it still has the previous version, in
   * which case the write may yet arrive.
   */
  async #readBack(
    name: string,
    version: number,
    token: string,
    cause: PlatformOutcomeUnknownError,
  ): Promise<LeaseWriteResult> {
    const row = await this.read(name);
    if (row.value?.token === token) {
      return { kind: 'written', version: row.version };
    }
    if (row.version === version) {
      throw cause;
    }
    return { kind: 'changed', row };
  }
}

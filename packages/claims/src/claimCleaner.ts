/** Deletes claims whose stated time has passed; a duty of one daemon of a data centre. */
import type { TableClient, TableRow } from '@snipehaven/platform';
import type { AnswerKeeper } from './answerKeeper.js';
import { tryRestoreClaimRow, type ClaimRow } from './claimRow.js';
import { CLAIM_PREFIX } from './constants.js';
import type { ClaimSettings } from './types.js';

export interface CleanUpResult {
  readonly scannedRows: number;
  readonly deletedRows: number;
}

export interface CleanerOptions {
  readonly table: TableClient;
  readonly answers: AnswerKeeper;
  readonly isIncarnationAlive: (incarnation: string) => boolean;
  readonly settings: ClaimSettings;
}

type Expiry = (row: ClaimRow, options: CleanerOptions) => number;

const getAnswerExpiry: Expiry = (row, { settings }) => row.atMs + settings.answerRetentionMs;

const getUnknownExpiry: Expiry = (row, { settings }) =>
  row.deadlineAtMs + settings.unknownRetentionMs;

/** When a row may go. A claim whose holder lives never goes, for the holder may still act on it. */
const expiryByState: Record<ClaimRow['state'], Expiry> = {
  finished: getAnswerExpiry,
  released: getAnswerExpiry,
  unknown: getUnknownExpiry,
  claimed: (row, options) =>
    options.isIncarnationAlive(row.owner) ? Infinity : getUnknownExpiry(row, options),
};

interface ClaimTableRow {
  readonly present: TableRow;
  readonly row: ClaimRow;
}

/** A row that is no claim is left alone: nobody can tell what it keeps from running twice. */
const restoreRow = (present: TableRow): readonly ClaimTableRow[] => {
  const row = tryRestoreClaimRow(present.value);
  return row ? [{ present, row }] : [];
};

export class ClaimCleaner {
  readonly #options: CleanerOptions;

  /** Where the next page starts; undefined at the beginning of a sweep. */
  #afterKey: string | undefined;

  constructor(options: CleanerOptions) {
    this.#options = options;
  }

  /** Looks through one page of rows; throws the platform's errors. */
  async cleanUp(nowMs: number): Promise<CleanUpResult> {
    const rows = await this.#scanPage();
    const expired = rows
      .flatMap(restoreRow)
      .filter(({ row }) => expiryByState[row.state](row, this.#options) < nowMs)
      .slice(0, this.#options.settings.cleanUpMaxDeletes);
    const deletedRows = await this.#delete(expired);
    this.#advance(rows, expired);
    return { scannedRows: rows.length, deletedRows };
  }

  #scanPage(): Promise<readonly TableRow[]> {
    return this.#options.table.scan({
      prefix: CLAIM_PREFIX,
      limit: this.#options.settings.cleanUpPageRows,
      ...(this.#afterKey === undefined ? {} : { afterKey: this.#afterKey }),
    });
  }

  /** A page with more to delete than one call may is gone through from its last deleted row. */
  #advance(rows: readonly TableRow[], expired: readonly ClaimTableRow[]): void {
    const { cleanUpMaxDeletes, cleanUpPageRows } = this.#options.settings;
    if (expired.length === cleanUpMaxDeletes) {
      this.#afterKey = expired.at(-1)?.present.key;
      return;
    }
    this.#afterKey = rows.length < cleanUpPageRows ? undefined : rows.at(-1)?.key;
  }

  /** The row goes before its object: a row without its object would be an answer lost too early. */
  async #delete(expired: readonly ClaimTableRow[]): Promise<number> {
    if (expired.length === 0) {
      return 0;
    }
    const results = await this.#options.table.transact(
      expired.map(({ present: { key, version } }) => ({
        conditions: [{ key, version }],
        writes: [{ key, value: null }],
      })),
    );
    const deleted = expired.filter((_row, index) => results[index]?.kind === 'committed');
    await Promise.all(deleted.map(({ row }) => this.#options.answers.forget(row)));
    return deleted.length;
  }
}

/** Deletes claims whose retention period has passed; run by one daemon per data centre. */
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

/** Time from which a row may be deleted; never for a claim whose owner is alive and may still use it. */
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

/** Skips rows that do not parse as claims: such a row may still prevent a second execution. */
const restoreRow = (present: TableRow): readonly ClaimTableRow[] => {
  const row = tryRestoreClaimRow(present.value);
  return row ? [{ present, row }] : [];
};

export class ClaimCleaner {
  readonly #options: CleanerOptions;

  /** Key after which the next page starts; undefined at the start of a full scan. */
  #afterKey: string | undefined;

  constructor(options: CleanerOptions) {
    this.#options = options;
  }

  /** Scans one page of rows and deletes the expired ones; throws platform errors. */
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

  /** If the delete limit cut the page short, the next scan continues after the last row selected. */
  #advance(rows: readonly TableRow[], expired: readonly ClaimTableRow[]): void {
    const { cleanUpMaxDeletes, cleanUpPageRows } = this.#options.settings;
    if (expired.length === cleanUpMaxDeletes) {
      this.#afterKey = expired.at(-1)?.present.key;
      return;
    }
    this.#afterKey = rows.length < cleanUpPageRows ? undefined : rows.at(-1)?.key;
  }

  /** Deletes the row before its object, since a row without its object would have lost its answer. */
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

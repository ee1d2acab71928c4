/** Writes settled entries to the table in batches, under the cursor of the own ledger. */
import { getErrorMessage, type Logger, type Random } from '@snipehaven/common';
import {
  PlatformRefusedError,
  type TableClient,
  type TableRow,
  type TransactionResult,
} from '@snipehaven/platform';
import type { UsageEntry } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { LEDGER_SUFFIX_SEPARATOR } from './constants.js';
import { createToken } from './createToken.js';
import { compareEntries, foldEntries, getEntryKey } from './foldEntries.js';
import {
  createBatchTransaction,
  findCursor,
  getBatchKey,
  getCursorKey,
  hasToken,
  NEW_CURSOR,
  restoreBatch,
  type PresentCursor,
} from './ledgerRows.js';
import type { RecordBook } from './recordBook.js';
import type { LedgerSettings } from './types.js';
import { withTimeout } from './withTimeout.js';

export interface LedgerFlusherOptions {
  readonly self: string;
  readonly book: RecordBook;
  readonly table: TableClient;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings: LedgerSettings;
  /** Called with entries that are now stored durably in the platform. */
  readonly onLasting: (entries: readonly UsageEntry[]) => void;
}

/** Content stays unchanged until the outcome of the write is known. */
interface Batch {
  readonly token: string;
  readonly entries: readonly UsageEntry[];
}

/** `revived`: the ledger was closed; the next attempt writes to a new one. */
export type FlushResult = 'flushed' | 'revived' | 'empty' | 'failed';

export class LedgerFlusher {
  readonly #options: LedgerFlusherOptions;

  #ledger: string;

  #generation = 1;

  #cursor: PresentCursor = NEW_CURSOR;

  #batch: Batch | undefined;

  constructor(options: LedgerFlusherOptions) {
    this.#options = options;
    this.#ledger = options.self;
  }

  /** The incarnation of the own ledger. */
  get ledger(): string {
    return this.#ledger;
  }

  /** Attempts to write one batch. Must not be called concurrently. */
  async flushBatch(): Promise<FlushResult> {
    const batch = this.#batch ?? this.#createBatch();
    if (!batch) {
      return 'empty';
    }
    this.#batch = batch;
    try {
      return await this.#onResult(batch, await this.#write(batch));
    } catch (error) {
      return this.#onError(batch, error);
    }
  }

  #createBatch(): Batch | undefined {
    const { book, settings, random } = this.#options;
    const entries = book.listSettled(settings.maxBatchEntries);
    return entries.length === 0 ? undefined : { token: createToken(this.#ledger, random), entries };
  }

  async #write(batch: Batch): Promise<TransactionResult | undefined> {
    const transaction = createBatchTransaction({
      ledger: this.#ledger,
      at: this.#cursor,
      ...batch,
    });
    const results = await this.#bound(this.#options.table.transact([transaction]));
    return results[0];
  }

  async #onResult(batch: Batch, result: TransactionResult | undefined): Promise<FlushResult> {
    if (result?.kind === 'committed') {
      const key = getCursorKey(this.#ledger);
      const version = result.versions.find((row) => row.key === key)?.version;
      return version === undefined
        ? this.#readBack(batch)
        : this.#finish(batch, this.#getNextCursor(batch, version));
    }
    return this.#onRows(batch, result?.rows ?? []);
  }

  #getNextCursor(batch: Batch, version: number): PresentCursor {
    const nextSeq = this.#cursor.cursor.nextSeq + 1;
    return { cursor: { nextSeq, state: 'open', token: batch.token }, version };
  }

  async #onError(batch: Batch, error: unknown): Promise<FlushResult> {
    const detail = { error: getErrorMessage(error), ledger: this.#ledger };
    this.#options.logger.warn(detail, 'failed to write a ledger batch');
    if (error instanceof PlatformRefusedError) {
      return 'failed';
    }
    return this.#readBack(batch);
  }

  /**
   * Reads the row back after a lost reply and recognises it by the batch's token; while it cannot be read,
   * the batch stays unchanged. Otherwise a batch whose write took effect would be written again under the
   * next number, and two rows would hold the same entries.
   */
  async #readBack(batch: Batch): Promise<FlushResult> {
    const keys = [getCursorKey(this.#ledger), this.#getBatchKey()];
    try {
      return await this.#onRows(batch, await this.#bound(this.#options.table.read(keys)));
    } catch (error) {
      this.#options.logger.warn(
        { error: getErrorMessage(error) },
        'failed to read back a ledger batch',
      );
      return 'failed';
    }
  }

  async #onRows(batch: Batch, rows: readonly TableRow[]): Promise<FlushResult> {
    const present = findCursor(this.#ledger, rows);
    if (hasToken(this.#ledger, this.#cursor.cursor.nextSeq, batch.token, rows)) {
      return this.#finish(batch, present);
    }
    if (present.cursor.state === 'closed') {
      await this.#revive(present);
      return 'revived';
    }
    return 'failed';
  }

  #finish(batch: Batch, next: PresentCursor): FlushResult {
    this.#batch = undefined;
    this.#cursor = next;
    const detail = { entries: batch.entries.length, ledger: this.#ledger, to: 'table' };
    this.#options.timeline.record('ledgerFlushed', {}, detail);
    this.#options.onLasting(batch.entries);
    return 'flushed';
  }

  /**
   * Starts a new ledger after a peer closed the cursor and wrote the settled entries, because it
   * considered this process dead during a pause. Continuing the old ledger would race the adopter. Only
   * entries missing from the adopter's batches move to the new ledger.
   */
  async #revive(closed: PresentCursor): Promise<void> {
    const written = foldEntries(await this.#readClosingBatches(closed));
    const isWritten = (entry: UsageEntry): boolean => {
      const winner = written.get(getEntryKey(entry));
      return winner !== undefined && compareEntries(winner, entry) <= 0;
    };
    const lasting = this.#options.book.listSettled(Infinity).filter(isWritten);
    const closedBy = closed.cursor.closedBy ?? '';
    this.#generation += 1;
    this.#ledger = `${this.#options.self}${LEDGER_SUFFIX_SEPARATOR}${this.#generation}`;
    this.#cursor = NEW_CURSOR;
    this.#batch = undefined;
    this.#options.logger.warn(
      { ledger: this.#ledger, closedBy },
      'ledger was closed by a peer; starting a new one',
    );
    this.#options.onLasting(lasting);
  }

  async #readClosingBatches(closed: PresentCursor): Promise<readonly UsageEntry[]> {
    const from = this.#cursor.cursor.nextSeq;
    const count = Math.max(0, closed.cursor.nextSeq - from);
    const keys = Array.from({ length: count }, (_, index) =>
      getBatchKey(this.#ledger, from + index),
    );
    const rows = await this.#bound(this.#options.table.read(keys));
    return rows.flatMap((row) => restoreBatch(row.value, row.key).entries);
  }

  #getBatchKey(): string {
    return getBatchKey(this.#ledger, this.#cursor.cursor.nextSeq);
  }

  #bound<Result>(call: Promise<Result>): Promise<Result> {
    return withTimeout(call, this.#options.settings.platformTimeoutMs, 'table');
  }
}

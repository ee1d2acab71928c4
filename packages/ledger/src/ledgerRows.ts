/** Table rows of the ledger: keys, schemas and conditional writes. */
import { z } from 'zod';
import { usageEntrySchema, type UsageEntry } from '@snipehaven/protocol';
import type { TableRow, TableTransaction } from '@snipehaven/platform';
import { CURSOR_PREFIX, LEDGER_PREFIX, SEQ_DIGITS, SPILL_PREFIX } from './constants.js';
import { LedgerDataError } from './errors.js';

const batchSchema = z.object({ token: z.string(), entries: z.array(usageEntrySchema) });

/** One row of entries written together. `token` identifies the write attempt. */
export type LedgerBatch = z.infer<typeof batchSchema>;

const cursorSchema = z.object({
  nextSeq: z.number(),
  state: z.enum(['open', 'closed']),
  closedBy: z.string().optional(),
  token: z.string(),
});

/** The next batch number of an incarnation's ledger, and whether the ledger is still open. */
export type LedgerCursor = z.infer<typeof cursorSchema>;

/** A cursor with its row version; version 0 means that the row does not exist yet. */
export interface PresentCursor {
  readonly cursor: LedgerCursor;
  readonly version: number;
}

const padSeq = (seq: number): string => String(seq).padStart(SEQ_DIGITS, '0');

export const getBatchKey = (ledger: string, seq: number): string =>
  `${LEDGER_PREFIX}${ledger}/${padSeq(seq)}`;

export const getCursorKey = (ledger: string): string => `${CURSOR_PREFIX}${ledger}`;

/**
 * The object name of a spilled batch, restricted to URL-safe characters. Names are sent in URLs, where
 * the `#` of an incarnation would truncate the name, and all batches of a VM would overwrite each other.
 */
export const getSpillName = (ledger: string, seq: number): string =>
  `${SPILL_PREFIX}${ledger.replace(/[^\w.~-]/g, '_')}/${padSeq(seq)}`;

/** Validates a batch from a row or object; throws `LedgerDataError`. */
export const restoreBatch = (value: unknown, name: string): LedgerBatch => {
  const parsed = batchSchema.safeParse(value);
  if (!parsed.success) {
    throw new LedgerDataError(`${name} is not a batch of usage entries`, { cause: parsed.error });
  }
  return parsed.data;
};

const restoreCursor = (value: unknown, name: string): LedgerCursor => {
  const parsed = cursorSchema.safeParse(value);
  if (!parsed.success) {
    throw new LedgerDataError(`${name} is not a ledger cursor`, { cause: parsed.error });
  }
  return parsed.data;
};

/** The cursor of a ledger that was never written. */
export const NEW_CURSOR: PresentCursor = {
  cursor: { nextSeq: 1, state: 'open', token: '' },
  version: 0,
};

/** Finds the ledger's cursor among the rows; a missing one yields a new cursor. */
export const findCursor = (ledger: string, rows: readonly TableRow[]): PresentCursor => {
  const key = getCursorKey(ledger);
  const row = rows.find((candidate) => candidate.key === key);
  return row ? { cursor: restoreCursor(row.value, key), version: row.version } : NEW_CURSOR;
};

/** Whether the rows show that the write attempt with this token took effect. */
export const hasToken = (
  ledger: string,
  seq: number,
  token: string,
  rows: readonly TableRow[],
): boolean => {
  const key = getBatchKey(ledger, seq);
  const row = rows.find((candidate) => candidate.key === key);
  return row !== undefined && restoreBatch(row.value, key).token === token;
};

/** Input for the transaction that writes a batch. */
export interface BatchWrite {
  readonly ledger: string;
  readonly at: PresentCursor;
  readonly token: string;
  readonly entries: readonly UsageEntry[];
  /** Closes the ledger with this batch. */
  readonly closedBy?: string;
}

/**
 * Writes the batch and advances the cursor atomically. The condition on the cursor's version prevents an
 * owner and its adopter from both continuing the ledger: one of them gets a conflict and the other's row.
 */
export const createBatchTransaction = (write: BatchWrite): TableTransaction => {
  const { nextSeq } = write.at.cursor;
  const batchKey = getBatchKey(write.ledger, nextSeq);
  const cursorKey = getCursorKey(write.ledger);
  const next: LedgerCursor = {
    nextSeq: nextSeq + 1,
    token: write.token,
    ...(write.closedBy === undefined
      ? { state: 'open' }
      : { state: 'closed', closedBy: write.closedBy }),
  };
  return {
    conditions: [
      { key: cursorKey, version: write.at.version },
      { key: batchKey, version: 0 },
    ],
    writes: [
      { key: batchKey, value: { token: write.token, entries: write.entries } },
      { key: cursorKey, value: next },
    ],
  };
};

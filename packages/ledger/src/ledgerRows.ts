/** The rows of the ledger in the table: their keys, forms and conditional writes. */
import { z } from 'zod';
import { usageEntrySchema, type UsageEntry } from '@snipehaven/protocol';
import type { TableRow, TableTransaction } from '@snipehaven/platform';
import { CURSOR_PREFIX, LEDGER_PREFIX, SEQ_DIGITS, SPILL_PREFIX } from './constants.js';
import { LedgerDataError } from './errors.js';

const batchSchema = z.object({ token: z.string(), entries: z.array(usageEntrySchema) });

/** One row: entries that were written together. `token` names the try, to find it again. */
export type LedgerBatch = z.infer<typeof batchSchema>;

const cursorSchema = z.object({
  nextSeq: z.number(),
  state: z.enum(['open', 'closed']),
  closedBy: z.string().optional(),
  token: z.string(),
});

/** How far one incarnation's ledger has come, and whether it may still be written. */
export type LedgerCursor = z.infer<typeof cursorSchema>;

/** A cursor with the version of its row; version 0 means that there is no row yet. */
export interface PresentCursor {
  readonly cursor: LedgerCursor;
  readonly version: number;
}

const padSeq = (seq: number): string => String(seq).padStart(SEQ_DIGITS, '0');

export const getBatchKey = (ledger: string, seq: number): string =>
  `${LEDGER_PREFIX}${ledger}/${padSeq(seq)}`;

export const getCursorKey = (ledger: string): string => `${CURSOR_PREFIX}${ledger}`;

/**
 * The name of a spilled batch. Names travel in URLs, where the `#` of an incarnation would cut the rest
 * of the name off and all batches of a VM would overwrite each other; so only plain characters stay.
 */
export const getSpillName = (ledger: string, seq: number): string =>
  `${SPILL_PREFIX}${ledger.replace(/[^\w.~-]/g, '_')}/${padSeq(seq)}`;

/** The gate for rows and objects of entries. */
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

/** Finds the ledger's cursor among rows that were read; a missing one is new. */
export const findCursor = (ledger: string, rows: readonly TableRow[]): PresentCursor => {
  const key = getCursorKey(ledger);
  const row = rows.find((candidate) => candidate.key === key);
  return row ? { cursor: restoreCursor(row.value, key), version: row.version } : NEW_CURSOR;
};

/** Whether the rows show that the try with the token took effect. */
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

/** What a batch is to be written as. */
export interface BatchWrite {
  readonly ledger: string;
  readonly at: PresentCursor;
  readonly token: string;
  readonly entries: readonly UsageEntry[];
  /** Closes the ledger with this batch. */
  readonly closedBy?: string;
}

/**
 * Writes the batch and moves the cursor, or neither. The cursor's version is what keeps an owner and its
 * adopter from both going on with the ledger: one of them meets a conflict and sees the other's word.
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

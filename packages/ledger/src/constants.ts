/** Names and bounds of the usage ledger. */
import type { LedgerSettings } from './types.js';

/** Rows of batches: `ledger/<ledger incarnation>/<seq>`. */
export const LEDGER_PREFIX = 'ledger/';
/** Rows of cursors: `ledgerCursor/<ledger incarnation>`. */
export const CURSOR_PREFIX = 'ledgerCursor/';
/** Objects that batches went to while the table was away. */
export const SPILL_PREFIX = 'ledger-spill/';
/** Batch numbers are padded so that keys sort by them. */
export const SEQ_DIGITS = 10;
/** Joins an incarnation and the count of its ledgers after the first. */
export const LEDGER_SUFFIX_SEPARATOR = '~';
/** Settled records that are remembered after their flush, to notice a second settlement. */
export const REMEMBERED_SETTLEMENTS = 4_096;
/** Rows of one page that a reader scans. */
export const SCAN_PAGE_ROWS = 100;

/** A batch and its cursor. */
export const ROWS_PER_BATCH = 2;

/**
 * At 60 rows a second 400 daemons flush each 13.3 s, 15 and fewer each 0.5 s; in between two VMs hold
 * each record.
 */
export const DEFAULT_LEDGER_SETTINGS: LedgerSettings = {
  minFlushIntervalMs: 500,
  maxTableWritesPerSecond: 60,
  maxFlushRetryMs: 10_000,
  maxBatchEntries: 500,
  batchGapMs: 2_000,
  maxPendingRecords: 20_000,
  spillThresholdRecords: 5_000,
  maxSpillEntries: 2_000,
  replicateBatchMs: 0,
  replicateTimeoutMs: 300,
  maxMessageRecords: 500,
  forgetDelayMs: 5_000,
  peerPenaltyMs: 5_000,
  maxPeerPenaltyMs: 300_000,
  checkIntervalMs: 1_000,
  adoptAfterMs: 5_000,
  maxClosingEntries: 1_000,
  platformTimeoutMs: 5_000,
  engineTimeoutMs: 2_000,
  engineAttempts: 5,
  engineRetryMs: 1_000,
  engineRetentionMs: 60_000,
  adoptionParallelism: 8,
  stopTimeoutMs: 10_000,
};

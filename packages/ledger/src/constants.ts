/** Key prefixes, limits and default settings of the usage ledger. */
import type { LedgerSettings } from './types.js';

/** Rows of batches: `ledger/<ledger incarnation>/<seq>`. */
export const LEDGER_PREFIX = 'ledger/';
/** Rows of cursors: `ledgerCursor/<ledger incarnation>`. */
export const CURSOR_PREFIX = 'ledgerCursor/';
/** Objects for batches spilled while the table was unavailable. */
export const SPILL_PREFIX = 'ledger-spill/';
/** Batch numbers are zero-padded so that keys sort numerically. */
export const SEQ_DIGITS = 10;
/** Separates an incarnation from the number of its ledger, from the second ledger on. */
export const LEDGER_SUFFIX_SEPARATOR = '~';
/** Settlements remembered after their flush, to detect a second settlement. */
export const REMEMBERED_SETTLEMENTS = 4_096;
/** Rows per page of a scan. */
export const SCAN_PAGE_ROWS = 100;

/** Rows written per batch: the batch and its cursor. */
export const ROWS_PER_BATCH = 2;

/**
 * At 60 rows per second, 400 daemons flush every 13.3 s each, and 15 or fewer every 0.5 s. Until its flush
 * each record is held by two VMs.
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

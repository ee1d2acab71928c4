/** Key prefixes and default settings of the claim store. */
import type { ClaimSettings } from './types.js';

export const CLAIM_PREFIX = 'claim/';
export const ANSWER_PREFIX = 'claim-answers/';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

export const DEFAULT_CLAIM_SETTINGS: ClaimSettings = {
  answerRetentionMs: DAY_MS,
  unknownRetentionMs: 7 * DAY_MS,
  maxInlineAnswerBytes: 8_192,
  groupCommitMs: 0,
  maxBatch: 64,
  maxBatchesInFlight: 2,
  maxQueuedTransactions: 1_024,
  maxPendingClaims: 4_096,
  maxClaimWaitMs: 1_500,
  lostReplyRetryMs: 50,
  settleRetryMs: 250,
  maxSettleRetryMs: 5_000,
  maxUnwrittenAnswerMs: 6 * HOUR_MS,
  deadlineGraceMs: MINUTE_MS,
  retryAfterMs: 1_000,
  cleanUpPageRows: 200,
  cleanUpMaxDeletes: 50,
};

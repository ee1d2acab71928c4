/** Names and default bounds of sessions. */
import type { PinSettings } from './types.js';

export const PIN_PREFIX = 'pin/';

const MINUTE_MS = 60_000;
const DAY_MS = 24 * 60 * MINUTE_MS;

export const DEFAULT_TOKEN_LIFETIME_MS = 7 * DAY_MS;

/** Longer tokens are refused unread. */
export const MAX_TOKEN_CHARS = 1_024;

export const DEFAULT_PIN_SETTINGS: PinSettings = {
  pinLifetimeMs: DAY_MS,
  maxPins: 100_000,
  bucketCount: 1_024,
  maxPinsPerRow: 2_000,
  flushIntervalMs: 1_000,
  maxTableWritesPerSecond: 60,
  maxRowsPerFlush: 16,
  tableWaitMs: 250,
  tableRetryMs: 5_000,
  peerWaitMs: 300,
  missFreshMs: 1_000,
  replicaWaitMs: 150,
  changeFreshMs: 60_000,
  patientTableWaitMs: 1_500,
  patientPeerWaitMs: 2_000,
};

/** Look-ups that found nothing, remembered for a moment. */
export const MAX_RECENT_MISSES = 1_000;

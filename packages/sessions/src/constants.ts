/** Names and default limits of sessions. */
import type { PinSettings } from './types.js';

export const PIN_PREFIX = 'pin/';

const MINUTE_MS = 60_000;
const DAY_MS = 24 * 60 * MINUTE_MS;

export const DEFAULT_TOKEN_LIFETIME_MS = 7 * DAY_MS;

/** Longer tokens are rejected without being decoded. */
export const MAX_TOKEN_CHARS = 1_024;

export const DEFAULT_PIN_SETTINGS: PinSettings = {
  pinLifetimeMs: DAY_MS,
  maxPins: 100_000,
  bucketCount: 1_024,
  maxPinsPerRow: 2_000,
  flushIntervalMs: 1_000,
  maxTableWritesPerSecond: 60,
  maxRowsPerFlush: 16,
  tableTimeoutMs: 250,
  tableRetryDelayMs: 5_000,
  peerTimeoutMs: 300,
  missTtlMs: 1_000,
  replicaTimeoutMs: 150,
  membershipChangeWindowMs: 60_000,
  extendedTableTimeoutMs: 1_500,
  extendedPeerTimeoutMs: 2_000,
};

/** Maximum number of unsuccessful look-ups that are cached. */
export const MAX_CACHED_MISSES = 1_000;

/** Keys, bounds and default settings of the configuration. */

/** The row that holds the head revision; every write of a resource raises it. */
export const HEAD_KEY = 'configurationHead';
export const RESOURCE_PREFIX = 'resource/';
export const CHANGE_PREFIX = 'change/';
/** Rows that remember which client request wrote which revision. */
export const REQUEST_PREFIX = 'configurationRequest/';
export const SAFE_MOVE_PREFIX = 'safeMove/';
export const SNAPSHOT_PREFIX = 'configuration/snapshot/';

/** Digits of a revision in a key, so that the order of keys is that of revisions. */
export const REVISION_DIGITS = 12;

export const SCAN_LIMIT = 500;
/** Changes in one answer to a peer. */
export const FETCH_LIMIT = 500;
/** Changes ahead of their turn that are kept until the gap closes. */
export const MAX_PENDING_CHANGES = 4_096;
export const UID_DIGITS = 12;

/** Settings of the replica; times in milliseconds. */
export interface ConfigurationSettings {
  /** Reads of the head row that all daemons together may make each second. */
  readonly pollReadsPerSecond: number;
  /** Poll interval of the daemon that polls for its data centre, and of small deployments. */
  readonly minPollMs: number;
  readonly maxPollBackoffMs: number;
  /** Without contact for longer, the configuration counts as stale. */
  readonly staleAfterMs: number;
  /** Without anyone who knows more for longer, a booting daemon serves what it has. */
  readonly cutOffAfterMs: number;
  /** How long a booting daemon waits to hear of a peer before it trusts the table alone. */
  readonly peerGraceMs: number;
  readonly bootRetryMs: number;
  /** How long a write is tried before it is refused. */
  readonly writeDeadlineMs: number;
  readonly retryBaseMs: number;
  readonly retryMaxMs: number;
  /** Change rows kept in the table, and changes kept in memory for watchers and peers. */
  readonly keptChanges: number;
  /** Change rows that one round of the duty deletes at most. */
  readonly prunedPerRound: number;
  readonly maintenanceMs: number;
  readonly keptSnapshots: number;
  /** How long a relay waits for its data centre before it answers. */
  readonly relayWaitMs: number;
  /** How long an applied revision is repeated in gossip after it changed. */
  readonly reportFreshMs: number;
  /** How long `activate` waits for the table before it says `notDurableYet`. */
  readonly durableWaitMs: number;
  readonly safeMoveRepairMs: number;
}

export const DEFAULT_SETTINGS: ConfigurationSettings = {
  pollReadsPerSecond: 30,
  minPollMs: 1_000,
  maxPollBackoffMs: 10_000,
  staleAfterMs: 20_000,
  cutOffAfterMs: 5_000,
  peerGraceMs: 1_000,
  bootRetryMs: 250,
  writeDeadlineMs: 5_000,
  retryBaseMs: 10,
  retryMaxMs: 500,
  keptChanges: 2_000,
  prunedPerRound: 50,
  maintenanceMs: 30_000,
  keptSnapshots: 3,
  relayWaitMs: 400,
  reportFreshMs: 3_000,
  durableWaitMs: 500,
  safeMoveRepairMs: 2_000,
};

/** Keys, limits and default settings of the configuration. */

/** Row with the head revision, which every write of a resource increments. */
export const HEAD_KEY = 'configurationHead';
export const RESOURCE_PREFIX = 'resource/';
export const CHANGE_PREFIX = 'change/';
/** Rows that map client request ids to the revisions they wrote. */
export const REQUEST_PREFIX = 'configurationRequest/';
export const SAFE_MOVE_PREFIX = 'safeMove/';
export const SNAPSHOT_PREFIX = 'configuration/snapshot/';

/** Digits of a revision in a key; padding makes keys sort by revision. */
export const REVISION_DIGITS = 12;

export const SCAN_LIMIT = 500;
/** Maximum number of changes in one response to a peer. */
export const FETCH_LIMIT = 500;
/** Out-of-order changes buffered until the gap before them closes. */
export const MAX_PENDING_CHANGES = 4_096;
export const UID_DIGITS = 12;

/** Settings of the replica. */
export interface ConfigurationSettings {
  /** Reads of the head row per second by all daemons together. */
  readonly pollReadsPerSecond: number;
  /**
   * Poll interval of the polling daemon of each data centre, and of all daemons in small
   * deployments.
   */
  readonly minPollMs: number;
  readonly maxPollBackoffMs: number;
  /**
   * The configuration is stale after this long without contact to the table, directly or through a
   * peer.
   */
  readonly staleAfterMs: number;
  /**
   * A booting daemon serves what it has after hearing from no source with a newer revision for this
   * long.
   */
  readonly isolatedAfterMs: number;
  /** How long a booting daemon waits to hear from a peer before it relies on the table alone. */
  readonly peerGraceMs: number;
  readonly bootRetryMs: number;
  /** How long a write is retried before it is rejected. */
  readonly writeDeadlineMs: number;
  readonly retryBaseMs: number;
  readonly retryMaxMs: number;
  /** Change rows retained in the table, and changes retained in memory for watchers and peers. */
  readonly retainedChanges: number;
  /** Maximum number of change rows deleted per maintenance run. */
  readonly maxPrunedPerRun: number;
  readonly maintenanceMs: number;
  readonly retainedSnapshots: number;
  /** How long a relay waits for the peers of its data centre before it responds. */
  readonly relayWaitMs: number;
  /** How long gossip repeats an applied revision or a safe move after it changed. */
  readonly gossipRepeatMs: number;
  /** How long `activate` waits for the table before it returns `notDurableYet`. */
  readonly durableWaitMs: number;
  readonly safeMoveRepairMs: number;
}

export const DEFAULT_SETTINGS: ConfigurationSettings = {
  pollReadsPerSecond: 30,
  minPollMs: 1_000,
  maxPollBackoffMs: 10_000,
  staleAfterMs: 20_000,
  isolatedAfterMs: 5_000,
  peerGraceMs: 1_000,
  bootRetryMs: 250,
  writeDeadlineMs: 5_000,
  retryBaseMs: 10,
  retryMaxMs: 500,
  retainedChanges: 2_000,
  maxPrunedPerRun: 50,
  maintenanceMs: 30_000,
  retainedSnapshots: 3,
  relayWaitMs: 400,
  gossipRepeatMs: 3_000,
  durableWaitMs: 500,
  safeMoveRepairMs: 2_000,
};

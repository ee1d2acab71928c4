/** Limits and tuning constants of evidence and roll-outs. */
import { defaultRolloutSettings, type RolloutSettings } from '@snipehaven/policy';

/** Lifetime of a cached pooled estimate of one subject. */
export const EVIDENCE_CACHE_MS = 1_000;
/** Capacity of the pooled-evidence cache; it is cleared when full. */
export const MAX_CACHED_SUBJECTS = 4_096;
/** Evidence cells per daemon; once full, outcomes of new subjects are not counted. */
export const MAX_CELLS = 2_000;
/**
 * Epochs for which per-daemon shares are retained; older ones are kept only in the data-centre
 * aggregates.
 */
export const RETAINED_DAEMON_EPOCHS = 2;
/** Clock skew tolerated in a received share, in epochs; shares further ahead are rejected. */
export const MAX_EPOCH_AHEAD = 1;
export const MAINTENANCE_MS = 60_000;

/** Payload limits per gossip message within the data centre. */
export const LOCAL_EVIDENCE_BYTES = 320;
export const LOCAL_ROLLOUT_BYTES = 120;
/**
 * Payload limits per gossip message between data centres, which a few relays send on behalf of all
 * daemons.
 */
export const REMOTE_EVIDENCE_BYTES = 360;
export const REMOTE_ROLLOUT_BYTES = 240;
/**
 * Every n-th gossip message also carries anti-entropy items, so that peers that missed an update
 * eventually receive it.
 */
export const ANTI_ENTROPY_INTERVAL_MESSAGES = 4;
export const ANTI_ENTROPY_BYTES = 160;
/**
 * Fraction of a cell's ratings that all daemons of a data centre together may leave unannounced.
 */
export const MAX_UNANNOUNCED_SHARE = 0.2;
/** Transmissions of an update within the data centre, per power of ten of its member count. */
export const TRANSMITS_PER_LOG_SIZE = 2;
export const REMOTE_TRANSMITS = 2;

/** Answers queued for the next batch to the rater. */
export const MAX_QUEUED_SAMPLES = 256;
export const SAMPLE_BATCH_SIZE = 32;
export const SAMPLE_FLUSH_MS = 250;
/** Submitted answers with a pending score; the oldest are dropped beyond this. */
export const MAX_OUTSTANDING_SAMPLES = 4_096;
/** Remembered inline ratings, which prevent rating the same answer twice. */
export const MAX_RATED_INLINE = 512;
export const POLL_INTERVAL_MS = 2_000;
export const POLL_PAGE_SIZE = 500;
/**
 * A new poller starts this many sequence numbers early; scores that were already counted are
 * recognised and dropped.
 */
export const POLL_OVERLAP_SEQS = 500;
/** Scores buffered per member while delivery to it fails. */
export const MAX_UNDELIVERED_SCORES = 1_000;
/** Consecutive failures after which the rater is considered down. */
export const MAX_CONSECUTIVE_RATER_FAILURES = 2;
export const RATER_PROBE_MS = 5_000;

/**
 * Key prefixes in the table. The safe-move rows belong to the configuration package and are only
 * read here.
 */
export const ROLLOUT_PREFIX = 'rollout/';
export const SAFE_MOVE_ROW_PREFIX = 'safeMove/';

export const RUNNER_TICK_MS = 1_000;
export const LEASE_DURATION_MS = 15_000;
export const LEASE_RENEW_MS = 5_000;
/**
 * After taking over the lease, the holder waits this long for the exposure reports of the daemons
 * before it issues grants.
 */
export const TAKEOVER_SETTLE_MS = 5_000;
/**
 * Grants are reissued at least this often; a grant that is not renewed expires after its lifetime.
 */
export const GRANT_RENEW_MS = 60_000;
export const GRANT_LIFETIME_MS = 300_000;
/**
 * Unrated answers of a dead daemon are written off after this time, long after its grant has
 * expired.
 */
export const RETIRE_DEAD_DAEMON_AFTER_MS = 600_000;
/** How long an assignment reserves part of the grant if no answer completes. */
export const RESERVATION_MS = 60_000;
export const SESSION_RESERVATION_MS = 600_000;
/** Expected number of answers in a new session. */
export const EXPECTED_SESSION_ANSWERS = 3;
/**
 * An unrated answer is written off once ratings have been published for this long after it ended.
 */
export const RATING_GRACE_MS = 60_000;
/**
 * Evidence weight up to which ratings of the stable version substitute for missing ratings of a
 * candidate.
 */
export const PROXY_EVIDENCE_WEIGHT = 60;

/** The defaults of the policy package, in which a roll-out starts with the shadow phase. */
export const rolloutSettings: RolloutSettings = defaultRolloutSettings;

/** Answer pairs with a pending score; the oldest are dropped beyond this. */
export const MAX_OUTSTANDING_PAIRS = 1_024;
/**
 * The pairs of a source are announced again after growing by this fraction since the last
 * announcement.
 */
export const PAIR_ANNOUNCEMENT_GROWTH = 0.25;

/** Completed answers needed per model and task before any is classified as slow. */
export const MIN_SLOW_SAMPLES = 20;
export const SLOW_QUANTILE = 0.9;
/** Relative adjustment of the slow threshold per observed answer. */
export const SLOW_STEP = 0.05;

/** Recent ratings per task and version that determine the severity of a drift. */
export const DRIFT_WINDOW = 20;
/** A drift is gross if the recent mean rating is below this fraction of the baseline. */
export const GROSS_DRIFT_FACTOR = 0.5;
/** If two versions drift within this time, the rater is suspected rather than the versions. */
export const CONCURRENT_DRIFT_WINDOW_MS = 600_000;
/** Minimum age of the baseline that recent ratings are compared with. */
export const DRIFT_BASELINE_AGE_MS = 600_000;

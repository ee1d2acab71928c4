/** Bounds and settings of evidence and roll-outs. */
import { defaultRolloutSettings, type RolloutSettings } from '@snipehaven/policy';

/** Pooled evidence of a subject is computed anew at most this often. */
export const EVIDENCE_CACHE_MS = 1_000;
/** Subjects with cached evidence; beyond it the cache starts over. */
export const MAX_CACHED_SUBJECTS = 4_096;
/** Cells that a daemon keeps; outcomes of further subjects are not counted. */
export const MAX_CELLS = 2_000;
/** Epochs for which counters of single daemons are kept; older ones live on in the aggregates. */
export const KEPT_OWN_EPOCHS = 2;
/** A peer's clock may be ahead by so many epochs. */
export const MAX_EPOCH_AHEAD = 1;
export const MAINTENANCE_MS = 60_000;

/** Bytes of evidence and of roll-out state in one gossip message within the data centre. */
export const LOCAL_EVIDENCE_BYTES = 320;
export const LOCAL_ROLLOUT_BYTES = 120;
/** The same between data centres, where a few relays speak for all. */
export const REMOTE_EVIDENCE_BYTES = 360;
export const REMOTE_ROLLOUT_BYTES = 240;
/** One in so many messages repeats something long known, so that everybody learns it in the end. */
export const MESSAGES_PER_SWEEP = 4;
export const SWEEP_BYTES = 160;
/** The part of a cell's ratings that all daemons of a data centre together may hold back. */
export const UNTOLD_SHARE = 0.2;
/** Times that news is sent on, for each power of ten of members. */
export const TRANSMITS_PER_LOG_SIZE = 2;
export const REMOTE_TRANSMITS = 2;

/** Answers that wait for the rater's next batch. */
export const MAX_QUEUED_SAMPLES = 256;
export const SAMPLE_BATCH_SIZE = 32;
export const SAMPLE_FLUSH_MS = 250;
/** Answers whose score has not come yet; the oldest are given up. */
export const MAX_OUTSTANDING_SAMPLES = 4_096;
/** Inline ratings remembered, so that the same answer is not rated twice. */
export const MAX_RATED_INLINE = 512;
export const POLL_INTERVAL_MS = 2_000;
export const POLL_PAGE_SIZE = 500;
/** A new poller reads so many numbers again; scores that were counted are known and dropped. */
export const POLL_OVERLAP_SEQS = 500;
/** Scores kept for a member that did not take them. */
export const MAX_UNDELIVERED_SCORES = 1_000;
/** Failures in a row after which the rater counts as down. */
export const RATER_FAILURES = 2;
export const RATER_PROBE_MS = 5_000;

/** Where the state of roll-outs stands in the table; the marks there belong to the configuration. */
export const ROLLOUT_PREFIX = 'rollout/';
export const SAFE_MOVE_ROW_PREFIX = 'safeMove/';

export const RUNNER_TICK_MS = 1_000;
export const LEASE_DURATION_MS = 15_000;
export const LEASE_RENEW_MS = 5_000;
/** A new holder waits so long for the reports of daemons before it grants anything. */
export const SETTLE_MS = 5_000;
/** A holder issues its grants anew at least this often; one that is not renewed lapses. */
export const GRANT_RENEW_MS = 60_000;
export const GRANT_LIFETIME_MS = 300_000;
/** After this time the answers of a dead daemon count as passed by, and its grant has long lapsed. */
export const RETIRE_AFTER_MS = 600_000;
/** An assignment that no answer has followed holds a part of the grant for this long. */
export const RESERVATION_MS = 60_000;
export const SESSION_RESERVATION_MS = 600_000;
/** Answers that a new session is expected to have. */
export const EXPECTED_SESSION_ANSWERS = 3;
/** An answer without a rating counts as passed by once ratings have gone on for so long after it. */
export const RATING_PATIENCE_MS = 60_000;
/** Ratings of the stable version that speak for a candidate without ratings of its own. */
export const STAND_IN_WEIGHT = 60;

/** The policy's own settings; roll-outs begin in the shadow. */
export const rolloutSettings: RolloutSettings = defaultRolloutSettings;

/** Pairs of which one score is awaited; the oldest are given up. */
export const MAX_OUTSTANDING_PAIRS = 1_024;
/** Pairs of a source are news once they have grown by this part of what was told last. */
export const PAIR_NEWS_GROWTH = 0.25;

/** Endings of a task before the slow threshold counts. */
export const MIN_SLOW_SAMPLES = 20;
export const SLOW_QUANTILE = 0.9;
/** How far one ending moves the slow threshold, as part of it. */
export const SLOW_STEP = 0.05;

/** Recent ratings of a task and version that are looked at when it drifts. */
export const DRIFT_WINDOW = 20;
/** A mean below this part of the earlier one is gross. */
export const GROSS_DRIFT_FACTOR = 0.5;
/** Drifts of two versions within this time speak against the rater rather than the versions. */
export const DRIFT_SUSPICION_MS = 600_000;
/** How old the evidence is that recent ratings are compared with. */
export const DRIFT_REFERENCE_MS = 600_000;

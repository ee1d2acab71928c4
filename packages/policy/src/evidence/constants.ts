/** Settings of the evidence about versions. */

/** Scores from 0 to 1 are counted in this many bins of equal width. */
export const SCORE_BIN_COUNT = 20;

/** Counters are kept per epoch, so that old ones can be weighed less without breaking the merge. */
export const EPOCH_MS = 6 * 3_600_000;

/** Evidence counts half after this time. */
export const EVIDENCE_HALF_LIFE_MS = 72 * 3_600_000;

/** Epochs older than this many are dropped. */
export const KEPT_EPOCHS = 28;

/** Ratings that the whole task's evidence for a version counts for in one team's estimate. */
export const TASK_POOL_WEIGHT = 120;

/** Ratings that the version's evidence over all tasks counts for in one task's estimate. */
export const VERSION_POOL_WEIGHT = 4;

/** Ratings between two false drift alarms of one task and version, on average and at least. */
export const DRIFT_ALARM_RATINGS = 100_000;

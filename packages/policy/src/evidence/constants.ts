/** Constants of the evidence about versions. */

/** Number of bins of equal width for scores from 0 to 1. */
export const SCORE_BIN_COUNT = 20;

/**
 * Length of an epoch. Counts are kept per epoch, so that old ones can be weighted less without
 * breaking the merge.
 */
export const EPOCH_MS = 6 * 3_600_000;

/** Half-life of the weight of evidence. */
export const EVIDENCE_HALF_LIFE_MS = 72 * 3_600_000;

/** Epochs older than this number are dropped. */
export const KEPT_EPOCHS = 28;

/**
 * Maximum weight, in ratings, of other teams' evidence for the same task in one team's estimate.
 */
export const TASK_POOL_WEIGHT = 120;

/** Maximum weight, in ratings, of the version's evidence for other tasks in one task's estimate. */
export const VERSION_POOL_WEIGHT = 4;

/** Minimum average number of ratings between two false drift alarms of one task and version. */
export const DRIFT_ALARM_RATINGS = 100_000;

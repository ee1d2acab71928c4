/** Steps of a roll-out's state. All are written under the lease's fencing number. */
import type { GuardResult, RolloutDefinition, RolloutProgress } from './types.js';

/** The state of a roll-out that has just been declared. */
export const startProgress = (
  definition: RolloutDefinition,
  fence: number,
  nowMs: number,
): RolloutProgress => ({
  rolloutId: definition.rolloutId,
  phase: 'running',
  stage: 0,
  stageStartedAtMs: nowMs,
  ratingsAtStageStart: 0,
  fence,
});

/**
 * The state under a new holder's lease, or undefined if a later holder has written already. The
 * stage goes on where it stopped; grants of earlier holders stay counted by the daemons' reports.
 */
export const resumeProgress = (
  progress: RolloutProgress,
  fence: number,
): RolloutProgress | undefined => (fence < progress.fence ? undefined : { ...progress, fence });

const advance = (
  definition: RolloutDefinition,
  progress: RolloutProgress,
  ratingCount: number,
  nowMs: number,
): RolloutProgress => {
  if (progress.stage >= definition.stages.length - 1) {
    return { ...progress, phase: 'finished' };
  }
  return {
    ...progress,
    stage: progress.stage + 1,
    stageStartedAtMs: nowMs,
    ratingsAtStageStart: ratingCount,
  };
};

/**
 * The state after the guard's verdict. Any daemon may apply a quarantine at once, for it is a safe
 * move; an advance counts only once the table has taken it under the holder's fence.
 */
export const applyVerdict = (
  definition: RolloutDefinition,
  progress: RolloutProgress,
  result: GuardResult,
  nowMs: number,
): RolloutProgress => {
  if (progress.phase !== 'running') {
    return progress;
  }
  if (result.verdict === 'quarantine') {
    return { ...progress, phase: 'quarantined' };
  }
  const mayAdvance = result.verdict === 'advance' && !definition.isPaused;
  return mayAdvance ? advance(definition, progress, result.ratingCount, nowMs) : progress;
};

/** Joins two views of one roll-out: quarantine beats everything, then the later stage. */
export const joinProgress = (a: RolloutProgress, b: RolloutProgress): RolloutProgress => {
  if (a.phase === 'quarantined' || b.phase === 'quarantined') {
    const base = a.phase === 'quarantined' ? a : b;
    return { ...base, fence: Math.max(a.fence, b.fence) };
  }
  const isLater = b.fence > a.fence || (b.fence === a.fence && b.stage > a.stage);
  return isLater ? b : a;
};

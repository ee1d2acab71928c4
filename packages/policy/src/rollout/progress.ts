/** Steps of a roll-out's state. All are written under the lease's fencing number. */
import { defaultRolloutSettings } from './constants.js';
import type {
  GuardResult,
  RolloutDefinition,
  RolloutPhase,
  RolloutProgress,
  RolloutSettings,
} from './types.js';

/** The state of a roll-out that has just been declared. */
export const startProgress = (
  definition: RolloutDefinition,
  fence: number,
  nowMs: number,
  settings: RolloutSettings = defaultRolloutSettings,
): RolloutProgress => ({
  rolloutId: definition.rolloutId,
  phase: settings.shadowSharePct > 0 ? 'shadow' : 'running',
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
  if (progress.phase === 'shadow') {
    return { ...progress, phase: 'running', stageStartedAtMs: nowMs };
  }
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
  if (progress.phase === 'quarantined' || progress.phase === 'finished') {
    return progress;
  }
  if (result.verdict === 'quarantine') {
    return { ...progress, phase: 'quarantined' };
  }
  const mayAdvance = result.verdict === 'advance' && !definition.isPaused;
  return mayAdvance ? advance(definition, progress, result.ratingCount, nowMs) : progress;
};

const phaseRanks: Readonly<Record<RolloutPhase, number>> = {
  shadow: 0,
  running: 1,
  finished: 2,
  quarantined: 3,
};

/** Quarantine beats everything; otherwise a later fence does, then the later phase and stage. */
const compareProgress = (a: RolloutProgress, b: RolloutProgress): number =>
  Number(a.phase === 'quarantined') - Number(b.phase === 'quarantined') ||
  a.fence - b.fence ||
  phaseRanks[a.phase] - phaseRanks[b.phase] ||
  a.stage - b.stage ||
  a.stageStartedAtMs - b.stageStartedAtMs ||
  a.ratingsAtStageStart - b.ratingsAtStageStart;

/** Joins two views of one roll-out: commutative, associative and idempotent. */
export const joinProgress = (a: RolloutProgress, b: RolloutProgress): RolloutProgress =>
  compareProgress(a, b) >= 0 ? a : b;

/** State transitions of a roll-out. Each one is written under the fencing number of the lease. */
import { defaultRolloutSettings } from './constants.js';
import type {
  GuardResult,
  RolloutDefinition,
  RolloutPhase,
  RolloutProgress,
  RolloutSettings,
} from './types.js';

/** Creates the state of a newly declared roll-out. */
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
 * Returns the state under a new holder's lease, or undefined if a later holder has already written.
 * The current stage continues; grants of earlier holders remain counted in the daemons' reports.
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
 * Returns the state after a verdict of the guard. Any daemon may apply a quarantine immediately,
 * because it is a safe move. An advance only counts once the platform's table has accepted it under
 * the holder's fence.
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
  const canAdvance = result.verdict === 'advance' && !definition.isPaused;
  return canAdvance ? advance(definition, progress, result.ratingCount, nowMs) : progress;
};

const phaseRanks: Readonly<Record<RolloutPhase, number>> = {
  shadow: 0,
  running: 1,
  finished: 2,
  quarantined: 3,
};

/** A quarantine takes precedence over everything else, then the later fence, phase and stage. */
const compareProgress = (a: RolloutProgress, b: RolloutProgress): number =>
  Number(a.phase === 'quarantined') - Number(b.phase === 'quarantined') ||
  a.fence - b.fence ||
  phaseRanks[a.phase] - phaseRanks[b.phase] ||
  a.stage - b.stage ||
  a.stageStartedAtMs - b.stageStartedAtMs ||
  a.ratingsAtStageStart - b.ratingsAtStageStart;

/** Merges two views of one roll-out. The operation is commutative, associative and idempotent. */
export const joinProgress = (a: RolloutProgress, b: RolloutProgress): RolloutProgress =>
  compareProgress(a, b) >= 0 ? a : b;

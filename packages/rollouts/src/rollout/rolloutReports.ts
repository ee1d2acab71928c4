/** Builds the reports of roll-outs for operators. */
import type { SafeMoves } from '@snipehaven/configuration';
import type { RolloutProgress } from '@snipehaven/policy';
import type { RolloutReport } from '../types.js';
import type { GuardEvaluator } from './guardEvaluator.js';
import type { DeclaredRollout } from './rolloutCatalogue.js';
import type { RolloutStates } from './rolloutStates.js';

export interface RolloutReportSources {
  readonly states: RolloutStates;
  readonly guard: GuardEvaluator;
  readonly safeMoves: Pick<SafeMoves, 'isActive' | 'list'>;
  readonly isRaterUp: () => boolean;
}

type ReportPhase = RolloutReport['phase'];

const getPhase = (
  { definition }: DeclaredRollout,
  progress: RolloutProgress | undefined,
  { safeMoves }: RolloutReportSources,
): ReportPhase => {
  if (safeMoves.isActive('quarantine', definition.candidateVersion)) {
    return 'quarantined';
  }
  if (progress === undefined) {
    return 'waiting';
  }
  if (progress.phase === 'finished' || progress.phase === 'quarantined') {
    return progress.phase;
  }
  return definition.isPaused ? 'paused' : 'running';
};

const findSafeMoveReason = (
  version: string,
  { safeMoves }: RolloutReportSources,
): string | undefined =>
  safeMoves
    .list()
    .filter(({ move }) => move.isActive && move.key.endsWith(`/${version}`))
    .map(({ move }) => `${move.key}: ${move.reason}`)[0];

const phaseReasons: Readonly<Record<ReportPhase, string>> = {
  waiting: 'not started: no lease holder has picked it up yet',
  running: 'collecting ratings',
  paused: 'paused by an operator',
  quarantined: 'the candidate is worse than the stable version',
  finished: 'the candidate serves new sessions',
};

const getReason = (phase: ReportPhase, version: string, sources: RolloutReportSources): string => {
  const safeMoveReason = findSafeMoveReason(version, sources);
  if (safeMoveReason !== undefined) {
    return safeMoveReason;
  }
  return phase === 'running' && !sources.isRaterUp()
    ? 'the rater is not available: stages are not advanced'
    : phaseReasons[phase];
};

const describeShadow = ({ definition }: DeclaredRollout, sources: RolloutReportSources): string => {
  const reason = getReason('running', definition.candidateVersion, sources);
  const pairCount = sources.guard.getPairCount(definition);
  return `shadow phase, callers do not get candidate answers; ${pairCount} pairs rated: ${reason}`;
};

/** Describes a roll-out from the state known to this daemon. */
export const describeRollout = (
  declared: DeclaredRollout,
  sources: RolloutReportSources,
): RolloutReport => {
  const { definition, name, model } = declared;
  const { stages, exposureBudget, candidateVersion, stableVersion } = definition;
  const progress = sources.states.getProgress(definition.rolloutId);
  const stage = Math.min(progress?.stage ?? 0, stages.length - 1);
  const phase = getPhase(declared, progress, sources);
  const isShadow = phase === 'running' && progress?.phase === 'shadow';
  const servesCallers = (phase === 'running' && !isShadow) || phase === 'finished';
  const exposures = sources.states.listExposures(definition.rolloutId);
  const exposedCount = exposures.reduce((sum, report) => sum + report.exposedCount, 0);
  const judgedCount = exposures.reduce((sum, report) => sum + report.judgedCount, 0);
  const ratings = sources.guard.getMeanRatings(definition);
  const rated = progress && sources.guard.evaluate(definition, progress).ratingCount;
  return {
    name,
    model,
    stableVersion,
    candidateVersion,
    phase,
    stage,
    stageCount: stages.length,
    sharePct: servesCallers ? (stages[stage]?.sharePct ?? 0) : 0,
    stageRatings: Math.max(0, (rated ?? 0) - (progress?.ratingsAtStageStart ?? 0)),
    minRatings: stages[stage]?.minRatings ?? 0,
    exposedCount,
    unjudgedCount: Math.max(0, exposedCount - judgedCount),
    exposureBudget,
    ...(ratings.candidate === undefined ? {} : { candidateRating: ratings.candidate }),
    ...(ratings.stable === undefined ? {} : { stableRating: ratings.stable }),
    reason: isShadow
      ? describeShadow(declared, sources)
      : getReason(phase, candidateVersion, sources),
  };
};

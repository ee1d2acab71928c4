/** Assigns new sessions and sessionless requests to the candidate or the stable version. */
import type { AssignmentInput, AssignmentReason, RolloutAssignment } from './types.js';

const FULL_PCT = 100;

const isLastStage = (input: AssignmentInput): boolean =>
  input.progress.stage >= input.definition.stages.length - 1;

/** Strict teams, and those that allow no exploration, wait for the last stage. */
const isInAudience = (input: AssignmentInput): boolean =>
  isLastStage(input) || (input.audience.allowsExploration && !input.audience.isStrict);

/** A gated answer is rated before its release; without that the team or the rater forbids it. */
const findGateReason = (input: AssignmentInput): AssignmentReason | undefined => {
  if (!input.grant?.isGated) {
    return undefined;
  }
  if (!input.audience.allowsCascade) {
    return 'audience';
  }
  return input.isRaterUp ? undefined : 'raterDown';
};

/**
 * Without a grant a daemon exposes nothing. If each daemon were allowed a few answers of its own,
 * 400 of them would expose thousands before the first rating came back.
 */
const findGrantReason = (input: AssignmentInput): AssignmentReason | undefined => {
  if (input.grant?.rolloutId !== input.definition.rolloutId) {
    return 'noGrant';
  }
  const used = input.exposedCount + input.expectedAnswers;
  return used > input.grant.grantedCount ? 'grantUsedUp' : undefined;
};

const findRefusal = (input: AssignmentInput): AssignmentReason | undefined => {
  if (input.progress.phase !== 'running' || input.definition.isPaused) {
    return 'notRunning';
  }
  if (!isInAudience(input)) {
    return 'audience';
  }
  return findGrantReason(input) ?? findGateReason(input);
};

const assignStable = (input: AssignmentInput, reason: AssignmentReason): RolloutAssignment => ({
  version: input.definition.stableVersion,
  isCandidate: false,
  isGated: false,
  chargedCount: 0,
  reason,
});

/** Decides for a new session or a sessionless request; requests within a session keep theirs. */
export const assignRollout = (input: AssignmentInput): RolloutAssignment => {
  const version = input.definition.candidateVersion;
  if (input.progress.phase === 'finished') {
    return { version, isCandidate: true, isGated: false, chargedCount: 0, reason: 'finished' };
  }
  const refusal = findRefusal(input);
  if (refusal) {
    return assignStable(input, refusal);
  }
  if (input.random.next() * FULL_PCT >= (input.grant?.sharePct ?? 0)) {
    return assignStable(input, 'outsideShare');
  }
  const isGated = input.grant?.isGated ?? false;
  return {
    version,
    isCandidate: true,
    isGated,
    chargedCount: input.expectedAnswers,
    reason: 'assigned',
  };
};

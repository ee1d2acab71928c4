/** Assigns new sessions and sessionless requests to the candidate or the stable version. */
import { defaultRolloutSettings } from './constants.js';
import type { AssignmentInput, AssignmentReason, RolloutAssignment } from './types.js';

const FULL_PCT = 100;

const isLastStage = (input: AssignmentInput): boolean =>
  input.progress.stage >= input.definition.stages.length - 1;

/** Teams with a higher exposure weight than this only take part in the last stage. */
const MAX_EARLY_EXPOSURE_WEIGHT = 0.5;

const acceptsEarlyStages = ({ audience }: AssignmentInput): boolean =>
  audience.allowsExploration &&
  !audience.isStrict &&
  (audience.exposureWeight ?? 0) <= MAX_EARLY_EXPOSURE_WEIGHT;

const isInAudience = (input: AssignmentInput): boolean =>
  isLastStage(input) || acceptsEarlyStages(input);

/**
 * A daemon without a grant exposes no requests. If each daemon were allowed a few answers of its
 * own, 400 daemons would expose thousands of answers before the first rating is known.
 */
const findGrantReason = (input: AssignmentInput): AssignmentReason | undefined => {
  if (input.grant?.rolloutId !== input.definition.rolloutId) {
    return 'noGrant';
  }
  const used = input.exposedCount + input.expectedAnswers;
  return used > input.grant.grantedCount ? 'grantUsedUp' : undefined;
};

const assignStable = (input: AssignmentInput, reason: AssignmentReason): RolloutAssignment => ({
  version: input.definition.stableVersion,
  isCandidate: false,
  chargedCount: 0,
  reason,
});

const assignCandidate = (
  input: AssignmentInput,
  reason: AssignmentReason,
  chargedCount: number,
): RolloutAssignment => ({
  version: input.definition.candidateVersion,
  isCandidate: true,
  chargedCount,
  reason,
});

const isWithinShare = (input: AssignmentInput, sharePct: number): boolean =>
  input.random.next() * FULL_PCT < sharePct;

/** The caller gets the stable version's answer; the candidate's answer is only rated. */
const assignShadow = (input: AssignmentInput): RolloutAssignment => {
  const { shadowSharePct } = input.settings ?? defaultRolloutSettings;
  if (!input.isIdempotent) {
    return assignStable(input, 'audience');
  }
  if (!input.isRaterUp) {
    return assignStable(input, 'raterDown');
  }
  if (!isWithinShare(input, shadowSharePct)) {
    return assignStable(input, 'outsideShare');
  }
  const shadowVersion = input.definition.candidateVersion;
  return { ...assignStable(input, 'shadowed'), shadowVersion };
};

const assignStage = (input: AssignmentInput): RolloutAssignment => {
  if (!isInAudience(input)) {
    return assignStable(input, 'audience');
  }
  const refusal = findGrantReason(input);
  if (refusal) {
    return assignStable(input, refusal);
  }
  return isWithinShare(input, input.grant?.sharePct ?? 0)
    ? assignCandidate(input, 'assigned', input.expectedAnswers)
    : assignStable(input, 'outsideShare');
};

type PhaseHandler = (input: AssignmentInput) => RolloutAssignment;

const phaseHandlers: Readonly<Record<AssignmentInput['progress']['phase'], PhaseHandler>> = {
  shadow: assignShadow,
  running: assignStage,
  quarantined: (input) => assignStable(input, 'notRunning'),
  finished: (input) => assignCandidate(input, 'finished', 0),
};

/**
 * Assigns a new session or a sessionless request. Requests within a session keep the session's
 * version.
 */
export const assignRollout = (input: AssignmentInput): RolloutAssignment =>
  input.definition.isPaused && input.progress.phase !== 'finished'
    ? assignStable(input, 'notRunning')
    : phaseHandlers[input.progress.phase](input);

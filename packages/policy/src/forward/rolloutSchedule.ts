/**
 * Computes the progress of a roll-out from its start time, so that all daemons follow the same
 * schedule, and from the highest step that the evidence allows; any daemon can stop the roll-out
 * permanently. The share is small and constant at first, so that a version that turns out bad gets
 * few requests. The move happens late enough for the version to have been observed, and early enough
 * for the longest streams on the old version to end before its upstreams are stopped.
 */
import { LAST_STEP } from './rolloutGate.js';

export type SchedulePhase = 'trying' | 'moving' | 'moved' | 'closing';

/**
 * Time since a roll-out was ordered. The order itself is not observed, so only bounds are known.
 */
export interface RolloutElapsed {
  readonly atLeastMs: number;
  readonly atMostMs: number;
}

export interface RolloutPosition {
  readonly phase: SchedulePhase;
  /** Share of the requests without a session that go to the new version. */
  readonly newShare: number;
  /** Share of the sessions that have been moved to the new version. */
  readonly sessionShare: number;
  /** Number of the step, from 0. */
  readonly step: number;
}

/** Steps by the fraction of the roll-out's duration that has elapsed. */
interface ScheduleStep extends RolloutPosition {
  readonly fromFraction: number;
}

/**
 * Default limit on the share of a roll-out's requests that a version that turns out bad may get.
 */
const DEFAULT_EXPOSURE = 0.15;

/**
 * A new session cannot be distinguished from one that ran at another daemon, so sessions only move
 * in the second half, each one once, by a hash that all daemons share. A version that never gets
 * beyond the second step stays within the exposure limit to the end. A tenth of the requests stays
 * on the old version for comparison until shortly before the end. With a lower exposure limit, the
 * shares of the first two steps shrink with it.
 */
const STEPS: readonly ScheduleStep[] = [
  { fromFraction: 0, phase: 'trying', newShare: 0.06, sessionShare: 0 },
  { fromFraction: 0.515, phase: 'moving', newShare: 0.25, sessionShare: 0.25 },
  { fromFraction: 0.65, phase: 'moved', newShare: 0.9, sessionShare: 0.9 },
  { fromFraction: 0.82, phase: 'moved', newShare: 1, sessionShare: 1 },
].map((step, index) => ({ ...step, phase: step.phase as SchedulePhase, step: index }));

/** Final phase, with all requests on the new version. */
const CLOSING_FRACTION = 0.93;
const CLOSING: RolloutPosition = {
  phase: 'closing',
  newShare: 1,
  sessionShare: 1,
  step: LAST_STEP,
};

/** No requests go to the new version. */
export const ROLLOUT_NOT_BEGUN: RolloutPosition = {
  phase: 'trying',
  newShare: 0,
  sessionShare: 0,
  step: 0,
};

/** Whether most requests go to the new version in this phase. */
export const isMainPhase = (phase: SchedulePhase): boolean =>
  phase === 'moved' || phase === 'closing';

/** The step whose time has certainly come, so that no session moves in the first half. */
export const findDueStep = ({ atLeastMs }: RolloutElapsed, durationMs: number): number =>
  Math.max(
    0,
    STEPS.findLastIndex(({ fromFraction }) => atLeastMs >= fromFraction * durationMs),
  );

/**
 * The final phase begins when its time may have come, so that the roll-out ends in time.
 * `allowedStep`: the highest step that the evidence allows.
 */
export const getRolloutPosition = (
  elapsed: RolloutElapsed,
  durationMs: number,
  exposure: number = DEFAULT_EXPOSURE,
  allowedStep: number = LAST_STEP,
): RolloutPosition => {
  const place = STEPS[Math.min(findDueStep(elapsed, durationMs), allowedStep)];
  if (place === undefined || elapsed.atLeastMs < 0) {
    return ROLLOUT_NOT_BEGUN;
  }
  const { phase, newShare, sessionShare, step } = place;
  if (step === LAST_STEP && elapsed.atMostMs >= CLOSING_FRACTION * durationMs) {
    return CLOSING;
  }
  const factor = isMainPhase(phase) ? 1 : Math.min(1, exposure / DEFAULT_EXPOSURE);
  return { phase, newShare: newShare * factor, sessionShare: sessionShare * factor, step };
};

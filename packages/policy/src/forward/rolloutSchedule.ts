/**
 * Computes the progress of a roll-out from its start time alone, so that all daemons follow the
 * same schedule without communication; any daemon can stop the roll-out permanently. The share is
 * small and constant at first, so that a version that turns out bad gets few requests. The move
 * happens late enough for the version to have been observed, and early enough for the longest
 * streams on the old version to end before its upstreams are stopped.
 */

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
 * in the second half, each one once, by a hash that all daemons share. Each step lasts long enough
 * to observe three bad answers at a few requests per second. With a lower exposure limit, all
 * shares except the last shrink with it.
 */
const STEPS: readonly ScheduleStep[] = [
  { fromFraction: 0, phase: 'trying', newShare: 0.06, sessionShare: 0 },
  { fromFraction: 0.515, phase: 'moving', newShare: 0.06, sessionShare: 0.06 },
  { fromFraction: 0.585, phase: 'moving', newShare: 0.2, sessionShare: 0.2 },
  { fromFraction: 0.62, phase: 'moving', newShare: 0.5, sessionShare: 0.5 },
  { fromFraction: 0.65, phase: 'moved', newShare: 1, sessionShare: 1 },
];

/** Final phase, with all requests on the new version. */
const CLOSING_FRACTION = 0.93;
const CLOSING: RolloutPosition = { phase: 'closing', newShare: 1, sessionShare: 1 };

/** No requests go to the new version. */
export const ROLLOUT_NOT_BEGUN: RolloutPosition = { phase: 'trying', newShare: 0, sessionShare: 0 };

const scaleToExposure = (share: number, exposure: number): number =>
  share < 1 ? share * Math.min(1, exposure / DEFAULT_EXPOSURE) : share;

/**
 * A step begins when its time has certainly come, so that no session moves in the first half. The
 * final phase begins when its time may have come, so that the roll-out ends in time.
 */
export const getRolloutPosition = (
  { atLeastMs, atMostMs }: RolloutElapsed,
  durationMs: number,
  exposure: number = DEFAULT_EXPOSURE,
): RolloutPosition => {
  const step = STEPS.findLast(({ fromFraction }) => atLeastMs >= fromFraction * durationMs);
  if (step === undefined) {
    return ROLLOUT_NOT_BEGUN;
  }
  if (step.phase !== 'trying' && atMostMs >= CLOSING_FRACTION * durationMs) {
    return CLOSING;
  }
  const { phase, newShare, sessionShare } = step;
  return {
    phase,
    newShare: scaleToExposure(newShare, exposure),
    sessionShare: scaleToExposure(sessionShare, exposure),
  };
};

/** Admits a request through its team's limits and the daemon's fair queue. */
import { asId, type TeamId } from '@snipehaven/common';
import type { Resource } from '@snipehaven/resources';
import type { RoutingDependencies } from './dependencies.js';
import { Refusal } from './refusal.js';
import type { RequestSignal } from './requestSignal.js';
import type { RunTracker } from './runTracker.js';
import type { LimitOutcome, LimitReservation } from './teamLimiter.js';
import type { RequestOptions } from './types.js';

export interface AdmissionInput {
  readonly requestId: string;
  readonly team: Resource<'Team'>;
  readonly options: RequestOptions;
  readonly expectedCostMicroUsd: number;
}

/** The limit reservation and queue slot that a request holds while it runs. */
export interface Admission {
  release(actualCostMicroUsd: number): void;
}

const limitMessages = {
  rate: 'the team exceeds its request rate limit',
  concurrency: 'the team has reached its concurrency limit',
  spend: 'the team has used up its spending limit',
} as const;

/** Retries once after a share arrives for a team of which this daemon held none. */
const tryReserve = async (
  { limiter }: RoutingDependencies,
  { team, expectedCostMicroUsd }: AdmissionInput,
): Promise<LimitOutcome> => {
  const outcome = limiter.reserve(team, expectedCostMicroUsd);
  if (outcome.kind === 'allowed' || !(await limiter.waitForShare(team))) {
    return outcome;
  }
  return limiter.reserve(team, expectedCostMicroUsd);
};

const reserve = async (
  deps: RoutingDependencies,
  tracker: RunTracker,
  input: AdmissionInput,
): Promise<LimitReservation> => {
  const outcome = await tryReserve(deps, input);
  if (outcome.kind === 'allowed') {
    return outcome.reservation;
  }
  const kind = outcome.limit === 'spend' ? 'spendLimited' : 'rateLimited';
  const { retryAfterMs } = outcome;
  throw new Refusal(kind, limitMessages[outcome.limit], tracker, { retryAfterMs });
};

const createAbortRefusal = (tracker: RunTracker, signal: RequestSignal): Refusal =>
  signal.reason === 'deadline'
    ? new Refusal(
        'deadlineExceeded',
        'the deadline passed before the request was admitted',
        tracker,
      )
    : new Refusal('callerGone', 'the caller has disconnected', tracker);

/** Resolves when the request may run; otherwise throws the final refusal immediately. */
export const admit = async (
  deps: RoutingDependencies,
  tracker: RunTracker,
  signal: RequestSignal,
  input: AdmissionInput,
): Promise<Admission> => {
  if (signal.reason !== undefined) {
    throw createAbortRefusal(tracker, signal);
  }
  const reservation = await reserve(deps, tracker, input);
  if (signal.signal.aborted) {
    reservation.release(0);
    throw createAbortRefusal(tracker, signal);
  }
  const outcome = await deps.gate.admit(
    {
      id: input.requestId,
      team: asId<TeamId>(input.team.metadata.name),
      weight: input.team.spec.weight,
      priority: input.options.priority,
      cost: 1,
      arrivedAtMs: Date.now(),
      deadlineAtMs: input.options.deadlineAtMs,
    },
    signal.signal,
  );
  if (outcome.kind !== 'admitted') {
    reservation.release(0);
    throw outcome.kind === 'refused'
      ? new Refusal('overloaded', `no capacity: ${outcome.reason}`, tracker, {
          retryAfterMs: outcome.retryAfterMs,
        })
      : createAbortRefusal(tracker, signal);
  }
  return {
    release: (actualCostMicroUsd) => {
      reservation.release(actualCostMicroUsd);
      outcome.release();
    },
  };
};

/** Acquires the claim of a non-idempotent request, or explains why the request may not run. */
import type { Claim, ClaimOutcome, ClaimRequest, StoredAnswer } from '@snipehaven/claims';
import { getErrorMessage } from '@snipehaven/common';
import type { RoutingDependencies } from './dependencies.js';
import { Refusal } from './refusal.js';
import type { RunTracker } from './runTracker.js';

/** The claim to run under, or the answer stored by a run that has finished. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'finished'; readonly answer: StoredAnswer };

const KEY_DIGEST_CHARS = 16;

/**
 * The billing key shared by a request and its retries. With the idempotency key alone, a caller
 * could send any number of different requests under one key and pay for one. A non-idempotent
 * request with a different body is refused by its claim; an idempotent one counts as another
 * request.
 */
export const getBillingKey = (
  requestId: string,
  idempotencyKey: string | undefined,
  hashBody: () => string,
): string =>
  idempotencyKey === undefined
    ? requestId
    : `${idempotencyKey}#${hashBody().slice(0, KEY_DIGEST_CHARS)}`;

type ClaimConflict = Exclude<ClaimOutcome, ClaimResult>;

const conflictRefusals: {
  readonly [Name in ClaimConflict['kind']]: (
    outcome: Extract<ClaimConflict, { kind: Name }>,
    tracker: RunTracker,
  ) => Refusal;
} = {
  inProgress: ({ retryAfterMs }, tracker) =>
    new Refusal('inProgress', 'a request with this idempotency key is running', tracker, {
      retryAfterMs,
    }),
  outcomeUnknown: (_outcome, tracker) =>
    new Refusal(
      'outcomeUnknown',
      'it is unknown whether the first request with this idempotency key ran',
      tracker,
    ),
  differentBody: (_outcome, tracker) =>
    new Refusal('differentBody', 'the idempotency key was used with a different body', tracker),
};

const toRefusal = (outcome: ClaimConflict, tracker: RunTracker): Refusal => {
  const create = conflictRefusals[outcome.kind] as (value: ClaimConflict, t: RunTracker) => Refusal;
  return create(outcome, tracker);
};

/**
 * Acquires the claim before anything is dispatched, so a refusal thrown here is always `notRun` for
 * this request.
 */
export const acquireClaim = async (
  deps: Pick<RoutingDependencies, 'claims' | 'timeline'>,
  tracker: RunTracker,
  request: ClaimRequest,
): Promise<ClaimResult> => {
  const outcome = await deps.claims.claim(request).catch((error: unknown) => {
    const message = `the claim could not be acquired: ${getErrorMessage(error)}`;
    throw new Refusal('platformAway', message, tracker, { cause: error });
  });
  if (outcome.kind === 'claimed' || outcome.kind === 'finished') {
    return outcome;
  }
  throw toRefusal(outcome, tracker);
};

/**
 * Stores the answer for retries, in the background: while the table is down it waits in memory, and
 * neither the caller nor the request's queue slot waits with it.
 */
export const storeAnswer = (
  deps: Pick<RoutingDependencies, 'claims' | 'logger'>,
  claim: Claim,
  answer: StoredAnswer,
): void => {
  deps.claims.finish(claim, answer).catch((error: unknown) => {
    deps.logger.warn({ error: getErrorMessage(error) }, 'answer not stored for retries');
  });
};

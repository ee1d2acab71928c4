/** Builds refusals with their Retry-After time. */
import { BUSY_RETRY_AFTER_S, NOT_READY_RETRY_AFTER_S } from '../constants.js';
import type { Refusal, RefusalReason } from './types.js';

/** Default retry times, given only for reasons that guarantee that the request has not run. */
const defaultRetryAfterS: Readonly<Partial<Record<RefusalReason, number>>> = {
  notReady: NOT_READY_RETRY_AFTER_S,
  staleConfiguration: NOT_READY_RETRY_AFTER_S,
  overloaded: BUSY_RETRY_AFTER_S,
  noUpstream: NOT_READY_RETRY_AFTER_S,
  upstreamsBusy: BUSY_RETRY_AFTER_S,
  deadlineNotRun: BUSY_RETRY_AFTER_S,
};

/** `knownAfterS` replaces the default retry time when a more accurate one is known. */
export const buildRefusal = (reason: RefusalReason, knownAfterS?: number): Refusal => {
  const after = knownAfterS ?? defaultRetryAfterS[reason];
  return after === undefined ? { reason } : { reason, retryAfterS: after };
};

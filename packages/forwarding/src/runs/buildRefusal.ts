/** When a refused caller may come back. */
import { BUSY_RETRY_AFTER_S, NOT_READY_RETRY_AFTER_S } from '../constants.js';
import type { Refusal, RefusalReason } from './types.js';

/** Usual times, said only where the request has not run. */
const defaultRetryAfterS: Readonly<Partial<Record<RefusalReason, number>>> = {
  notReady: NOT_READY_RETRY_AFTER_S,
  noUpstream: NOT_READY_RETRY_AFTER_S,
  upstreamsBusy: BUSY_RETRY_AFTER_S,
  deadlineNotRun: BUSY_RETRY_AFTER_S,
};

/** `knownAfterS`: a time that is known better than the usual one. */
export const buildRefusal = (reason: RefusalReason, knownAfterS?: number): Refusal => {
  const after = knownAfterS ?? defaultRetryAfterS[reason];
  return after === undefined ? { reason } : { reason, retryAfterS: after };
};

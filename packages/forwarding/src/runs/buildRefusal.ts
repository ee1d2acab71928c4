/** When a refused caller may come back; said only where its request has not run. */
import { BUSY_RETRY_AFTER_S, NOT_READY_RETRY_AFTER_S } from '../constants.js';
import type { Refusal, RefusalReason } from './types.js';

const retryAfterS: Readonly<Partial<Record<RefusalReason, number>>> = {
  notReady: NOT_READY_RETRY_AFTER_S,
  noUpstream: NOT_READY_RETRY_AFTER_S,
  upstreamsBusy: BUSY_RETRY_AFTER_S,
  deadlineNotRun: BUSY_RETRY_AFTER_S,
};

export const buildRefusal = (reason: RefusalReason): Refusal => {
  const after = retryAfterS[reason];
  return after === undefined ? { reason } : { reason, retryAfterS: after };
};

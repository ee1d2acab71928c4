/** Settings of retries; figures in POLICY-UPSTREAMS.md. */
import type { SpillTarget } from './types.js';

/** Retries are at most this share of the requests. */
export const RETRY_BUDGET_SHARE = 0.1;
/** The most tokens that quiet times save up. */
export const RETRY_BUDGET_MAX = 20;
/** A daemon's tokens at its start. */
export const RETRY_BUDGET_INITIAL = 5;
/** Attempts of one request, the first included. */
export const MAX_ATTEMPTS = 3;
/** A refused request waits up to this long before its retry, so that retries don't come in step. */
export const RETRY_JITTER_MS = 20;

/** Same model elsewhere, then the next model that meets the target, then another data centre. */
export const SPILL_ORDER: readonly SpillTarget[] = ['sameModel', 'nextModel', 'otherDataCentre'];

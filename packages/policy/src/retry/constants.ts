/** Constants of retries. POLICY-UPSTREAMS.md lists the figures. */
import type { SpillTarget } from './types.js';

/** Retries are limited to this fraction of the requests. */
export const RETRY_BUDGET_SHARE = 0.1;
/** Capacity of the retry budget, which caps what accumulates while few retries are needed. */
export const RETRY_BUDGET_MAX = 20;
/** Retry budget of a daemon at its start. */
export const RETRY_BUDGET_INITIAL = 5;
/** Maximum number of attempts per request, including the first. */
export const MAX_ATTEMPTS = 3;
/**
 * Maximum random delay before a refused request is retried, so that retries are not synchronised.
 */
export const RETRY_JITTER_MS = 20;

/**
 * Same model elsewhere, then the next model that meets the quality target, then another data
 * centre.
 */
export const SPILL_ORDER: readonly SpillTarget[] = ['sameModel', 'nextModel', 'otherDataCentre'];

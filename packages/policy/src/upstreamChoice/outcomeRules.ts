/** Effect of each kind of outcome on an upstream's health. */
import type { OutcomeKind } from './types.js';

/**
 * Effect of an outcome. A failure also states which share of the pool may be ejected for its kind.
 */
export type OutcomeRule =
  | { readonly kind: 'success' }
  | { readonly kind: 'ignore' }
  | { readonly kind: 'failure'; readonly maxEjectedShare: number };

/**
 * Errors and timeouts can be caused by the requests or by load. If a whole pool were ejected for
 * them, the remaining upstreams would get the entire load and fail as well, so that ejections
 * cascade through the pool; hence the lower share. An unreachable upstream could not serve requests
 * in any case.
 */
export const outcomeRules: Readonly<Record<OutcomeKind, OutcomeRule>> = {
  succeeded: { kind: 'success' },
  refused: { kind: 'ignore' },
  failed: { kind: 'failure', maxEjectedShare: 0.5 },
  timedOut: { kind: 'failure', maxEjectedShare: 0.5 },
  unreachable: { kind: 'failure', maxEjectedShare: 0.9 },
};

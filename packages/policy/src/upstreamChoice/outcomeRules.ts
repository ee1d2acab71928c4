/** What each kind of outcome says about an upstream's health. */
import type { OutcomeKind } from './types.js';

/** How an outcome counts; a failure says what share of the pool may be ejected for its like. */
export type OutcomeRule =
  | { readonly kind: 'success' }
  | { readonly kind: 'ignore' }
  | { readonly kind: 'failure'; readonly maxEjectedShare: number };

/**
 * Errors and timeouts may come from the requests or from load: were a whole pool ejected for them,
 * the rest would get all the load and follow. One sees it as ejections that run through a pool.
 * Hence the lower share. An upstream without a connection could not have served anyway.
 */
export const outcomeRules: Readonly<Record<OutcomeKind, OutcomeRule>> = {
  succeeded: { kind: 'success' },
  refused: { kind: 'ignore' },
  failed: { kind: 'failure', maxEjectedShare: 0.5 },
  timedOut: { kind: 'failure', maxEjectedShare: 0.5 },
  unreachable: { kind: 'failure', maxEjectedShare: 0.9 },
};

/** Decides what follows an attempt that produced no answer for the caller. */

/**
 * `notSent`: no byte was written. `misdirected`: the address now belongs to another upstream, which
 * did not run the request. `refused`: the upstream states that it did not run the request.
 * `failed`: the request ran and the upstream answered with a failure. `unknown`: the request was
 * sent and may have run.
 */
export type AttemptOutcome = 'notSent' | 'misdirected' | 'refused' | 'failed' | 'unknown';

/**
 * Whether the attempt reached none of the upstreams that the route allows, so that it does not
 * count against the route's attempts.
 */
export const isUnspent = (outcome: AttemptOutcome): boolean =>
  outcome === 'notSent' || outcome === 'misdirected';

export interface AttemptState {
  readonly outcome: AttemptOutcome;
  readonly isRepeatable: boolean;
  /** Number of upstreams that the request was sent to. */
  readonly sent: number;
  readonly maxAttempts: number;
  /** Number of attempts that did not reach the intended upstream. */
  readonly unsent: number;
  readonly remainingMs: number;
  readonly minAttemptMs: number;
}

/**
 * Maximum number of consecutive connection failures before the request fails. In a partitioned data
 * centre, all remote upstreams refuse connections at once; with 3, requests failed before a local
 * upstream was tried.
 */
const MAX_UNDELIVERED_ATTEMPTS = 8;

const retryRules: Readonly<Record<AttemptOutcome, (isRepeatable: boolean) => boolean>> = {
  notSent: () => true,
  misdirected: () => true,
  refused: () => true,
  failed: (isRepeatable) => isRepeatable,
  unknown: (isRepeatable) => isRepeatable,
};

/** Whether another upstream may be tried. The repeat budget is checked afterwards. */
export const mayTryAgain = (state: AttemptState): boolean =>
  retryRules[state.outcome](state.isRepeatable) &&
  state.sent < state.maxAttempts &&
  state.unsent <= MAX_UNDELIVERED_ATTEMPTS &&
  state.remainingMs > state.minAttemptMs;

/** What follows an attempt that gave no answer for the caller. */

/**
 * `notSent`: no byte was written. `misdirected`: another upstream has the address now, and did not run it.
 * `refused`: the upstream says that it did not run it. `failed`: it ran and the upstream answered with a
 * failure. `unknown`: sent, and it may have run.
 */
export type AttemptOutcome = 'notSent' | 'misdirected' | 'refused' | 'failed' | 'unknown';

/** Whether the attempt reached none of the upstreams that the route allows to be asked. */
export const isUnspent = (outcome: AttemptOutcome): boolean =>
  outcome === 'notSent' || outcome === 'misdirected';

export interface AfterAttempt {
  readonly outcome: AttemptOutcome;
  readonly isRepeatable: boolean;
  /** Upstreams that the request was sent to. */
  readonly sent: number;
  readonly maxAttempts: number;
  /** Attempts that reached no upstream that they were meant for. */
  readonly unsent: number;
  readonly remainingMs: number;
  readonly minAttemptMs: number;
}

/**
 * Connections that may fail one after the other before the request is given up. In a data centre that is cut
 * off all upstreams of the others refuse at once; with 3, requests ended before a local one was asked.
 */
const MAX_UNSENT = 8;

const mayRunAgain: Readonly<Record<AttemptOutcome, (isRepeatable: boolean) => boolean>> = {
  notSent: () => true,
  misdirected: () => true,
  refused: () => true,
  failed: (isRepeatable) => isRepeatable,
  unknown: (isRepeatable) => isRepeatable,
};

/** Whether another upstream may be asked; the repeat budget is asked for after this. */
export const mayTryAgain = (after: AfterAttempt): boolean =>
  mayRunAgain[after.outcome](after.isRepeatable) &&
  after.sent < after.maxAttempts &&
  after.unsent <= MAX_UNSENT &&
  after.remainingMs > after.minAttemptMs;

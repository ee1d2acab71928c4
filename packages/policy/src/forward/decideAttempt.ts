/** What follows an attempt that gave no answer for the caller. */

/**
 * `notSent`: no byte was written. `refused`: the upstream says that it did not run it. `failed`: it
 * ran and the upstream answered with a failure. `unknown`: sent, and it may have run.
 */
export type AttemptOutcome = 'notSent' | 'refused' | 'failed' | 'unknown';

export interface AfterAttempt {
  readonly outcome: AttemptOutcome;
  readonly isRepeatable: boolean;
  /** Upstreams that the request was sent to. */
  readonly sent: number;
  readonly maxAttempts: number;
  /** Attempts that could not be sent. */
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

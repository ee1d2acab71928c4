/** Types of the retry decision. */

/** Whether the upstream executed an attempt, as far as known. */
export type AttemptVerdict = 'notRun' | 'unknown' | 'ran';

/** Targets of a further attempt, in order of preference. */
export type SpillTarget = 'sameModel' | 'nextModel' | 'otherDataCentre';

/** Token bucket that requests credit and retries debit. */
export interface RetryBudget {
  readonly tokens: number;
}

/** A failed attempt, or a request for which no upstream had capacity. */
export interface RetryInput {
  readonly verdict: AttemptVerdict;
  readonly isIdempotent: boolean;
  /**
   * Part of the answer has been sent to the caller, so the request can be resumed but not run
   * again.
   */
  readonly hasAnswerStarted: boolean;
  /** Number of attempts so far, including the failed one. */
  readonly attempts: number;
  readonly budget: RetryBudget;
  /** Time until the caller's deadline. */
  readonly remainingMs: number;
  /** Minimum expected duration of a further attempt. */
  readonly expectedMs: number;
  /** Delay that the upstream asked for; 0 if it asked for none. */
  readonly retryAfterMs: number;
  /** Targets that have an upstream with free capacity which the team may use. */
  readonly openTargets: readonly SpillTarget[];
}

/** Why there is no further attempt. */
export type GiveUpReason =
  'mayHaveRun' | 'answerStarted' | 'attemptsUsed' | 'deadline' | 'budgetUsed' | 'noTarget';

/** Decision after a failed attempt. Giving up means that the caller gets its final answer now. */
export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly target: SpillTarget;
      readonly afterMs: number;
      readonly budget: RetryBudget;
    }
  | { readonly kind: 'giveUp'; readonly reason: GiveUpReason; readonly budget: RetryBudget };

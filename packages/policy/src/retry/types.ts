/** What the decision to try again reads and answers. */

/** Whether an attempt ran at the upstream, by the evidence at hand. */
export type AttemptVerdict = 'notRun' | 'unknown' | 'ran';

/** Where a further attempt can go, in the order of preference. */
export type SpillTarget = 'sameModel' | 'nextModel' | 'otherDataCentre';

/** Tokens that retries use up and requests bring in. */
export interface RetryBudget {
  readonly tokens: number;
}

/** One failed attempt, or a request for which no upstream had room. */
export interface RetryInput {
  readonly verdict: AttemptVerdict;
  readonly isIdempotent: boolean;
  /** Bytes of the answer have gone to the caller: it can be resumed but not run again. */
  readonly hasAnswerStarted: boolean;
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
  readonly budget: RetryBudget;
  /** Until the caller's deadline. */
  readonly remainingMs: number;
  /** The least that a further attempt is expected to need. */
  readonly expectedMs: number;
  /** Wait that the upstream asked for; 0 without. */
  readonly retryAfterMs: number;
  /** Which targets have an upstream that the team allows and that has room. */
  readonly openTargets: readonly SpillTarget[];
}

/** Why there is no further attempt. */
export type GiveUpReason =
  'mayHaveRun' | 'answerStarted' | 'attemptsUsed' | 'deadline' | 'budgetUsed' | 'noTarget';

/** What to do after a failed attempt. Giving up means a final answer now. */
export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly target: SpillTarget;
      readonly afterMs: number;
      readonly budget: RetryBudget;
    }
  | { readonly kind: 'giveUp'; readonly reason: GiveUpReason; readonly budget: RetryBudget };

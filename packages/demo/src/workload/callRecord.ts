/** What a caller saw of one request. */
import type { WorkItem } from './workItems.js';

/** A whole answer as the caller got it. */
export interface SeenAnswer {
  readonly text: string;
  readonly version: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly plan: string;
  readonly isReplayed: boolean;
  readonly sessionToken?: string;
  /** Why the session moved, where the answer said so. */
  readonly movedBecause?: string;
}

/** How one attempt of the caller ended. */
export type AttemptEnd =
  | { readonly kind: 'answered'; readonly answer: SeenAnswer }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly code: string;
      readonly verdict: string;
      readonly retryAfterMs: number;
    }
  /** The connection broke, or an answer was cut: the caller can't know whether it ran. */
  | { readonly kind: 'broken'; readonly reason: string };

export interface CallAttempt {
  readonly vm: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly end: AttemptEnd;
}

export interface CallRecord {
  readonly item: WorkItem;
  readonly attempts: readonly CallAttempt[];
}

/** How the request ended for the caller. */
export const getFinalEnd = (record: CallRecord): AttemptEnd | undefined =>
  record.attempts.at(-1)?.end;

/** Errors of claims. */
import { SnipehavenError } from '@snipehaven/common';

/**
 * This request holds no claim and nothing may be dispatched for it: it did not run. Of an earlier
 * request with the same key it says nothing.
 */
export class ClaimsUnavailableError extends SnipehavenError {
  readonly code = 'claims_unavailable';

  /** When a retry may succeed. */
  readonly retryAfterMs: number;

  constructor(message: string, retryAfterMs: number, options?: ErrorOptions) {
    super(message, options);
    this.retryAfterMs = retryAfterMs;
  }
}

/** The answer could not be stored in time or the row is gone: retries get `outcomeUnknown`. */
export class AnswerNotKeptError extends SnipehavenError {
  readonly code = 'answer_not_kept';
}

/** The queue before the table is full or the entry's time ran out; the entry was not sent. */
export class NotSentError extends SnipehavenError {
  readonly code = 'not_sent';

  readonly retryAfterMs: number;

  constructor(message: string, retryAfterMs: number) {
    super(message);
    this.retryAfterMs = retryAfterMs;
  }
}

/** An object of the object store does not have the form of an answer. */
export class MalformedAnswerError extends SnipehavenError {
  readonly code = 'malformed_answer';
}

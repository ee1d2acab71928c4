/** Errors of the claim store. */
import { SnipehavenError } from '@snipehaven/common';

/**
 * No claim was acquired, so the request was not and must not be dispatched. Says nothing about an
 * earlier request with the same key.
 */
export class ClaimsUnavailableError extends SnipehavenError {
  readonly code = 'claims_unavailable';

  /** Delay after which a retry may succeed. */
  readonly retryAfterMs: number;

  constructor(message: string, retryAfterMs: number, options?: ErrorOptions) {
    super(message, options);
    this.retryAfterMs = retryAfterMs;
  }
}

/** The answer could not be stored in time, or the row no longer exists; retries get `outcomeUnknown`. */
export class AnswerNotKeptError extends SnipehavenError {
  readonly code = 'answer_not_kept';
}

/** The transaction was not sent: the queue is full, or its deadline passed before a send was possible. */
export class NotSentError extends SnipehavenError {
  readonly code = 'not_sent';

  readonly retryAfterMs: number;

  constructor(message: string, retryAfterMs: number) {
    super(message);
    this.retryAfterMs = retryAfterMs;
  }
}

/** A stored object does not match the schema of an answer. */
export class MalformedAnswerError extends SnipehavenError {
  readonly code = 'malformed_answer';
}

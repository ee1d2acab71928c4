/** Errors of evidence and roll-outs. */
import { SnipehavenError } from '@snipehaven/common';

/** The rater gave no score in time. */
export class RatingUnavailableError extends SnipehavenError {
  readonly code = 'rating_unavailable';
}

/** The state of a roll-out in the table cannot be read. */
export class RolloutRowMalformedError extends SnipehavenError {
  readonly code = 'rollout_row_malformed';
}

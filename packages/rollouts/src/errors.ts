/** Errors of evidence and roll-outs. */
import { SnipehavenError } from '@snipehaven/common';

/** The rater returned no score before the timeout. */
export class RatingUnavailableError extends SnipehavenError {
  readonly code = 'rating_unavailable';
}

/** The stored state of a roll-out does not match the schema. */
export class RolloutRowMalformedError extends SnipehavenError {
  readonly code = 'rollout_row_malformed';
}

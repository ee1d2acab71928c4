import { SnipehavenError } from '@snipehaven/common';

/** A signing key is unusable. */
export class SessionKeyError extends SnipehavenError {
  readonly code = 'session_key';
}

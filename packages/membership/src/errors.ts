/** Errors of membership. */
import { SnipehavenError } from '@snipehaven/common';

/** A peer called a member that has stopped or has not started. */
export class MembershipStoppedError extends SnipehavenError {
  readonly code = 'membership_stopped';
}

/** A lease row in the table that this version can't read. */
export class LeaseRowMalformedError extends SnipehavenError {
  readonly code = 'lease_row_malformed';
}

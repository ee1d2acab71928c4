/** Errors of membership. */
import { SnipehavenError } from '@snipehaven/common';
import { PeerUnreachableError } from '@snipehaven/protocol';

/** A peer called a member that has stopped or has not started yet. */
export class MembershipStoppedError extends SnipehavenError {
  readonly code = 'membership_stopped';
}

/** A lease row in the table cannot be read by this version. */
export class LeaseRowMalformedError extends SnipehavenError {
  readonly code = 'lease_row_malformed';
}

/** Creates the error for a peer that did not answer in time. */
export const toPeerTimeout =
  (timeoutMs: number): (() => PeerUnreachableError) =>
  () =>
    new PeerUnreachableError(`no answer within ${timeoutMs} ms`);

/** Errors of membership. */
import { SnipehavenError } from '@snipehaven/common';
import { PeerUnreachableError } from '@snipehaven/protocol';

/** A peer called a member that has stopped or has not started. */
export class MembershipStoppedError extends SnipehavenError {
  readonly code = 'membership_stopped';
}

/** A lease row in the table that this version can't read. */
export class LeaseRowMalformedError extends SnipehavenError {
  readonly code = 'lease_row_malformed';
}

/** Creates the error of a peer that did not answer in time. */
export const toPeerTimeout =
  (timeoutMs: number): (() => PeerUnreachableError) =>
  () =>
    new PeerUnreachableError(`no answer in ${timeoutMs} ms`);

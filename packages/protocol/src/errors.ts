/** Errors of the inner protocol. */
import { SnipehavenError } from '@snipehaven/common';

/** A peer did not answer in time, refused the connection, or answered with an error. */
export class PeerUnreachableError extends SnipehavenError {
  readonly code = 'peer_unreachable';
}

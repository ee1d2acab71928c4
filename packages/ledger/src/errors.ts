/** Errors of the usage ledger. */
import { SnipehavenError } from '@snipehaven/common';

/** The bound of records that wait for the platform is reached: refuse the request, not run. */
export class LedgerFullError extends SnipehavenError {
  readonly code = 'ledger_full';

  readonly retryAfterMs: number;

  constructor(pendingCount: number, retryAfterMs: number) {
    super(`${pendingCount} usage records wait for the platform`);
    this.retryAfterMs = retryAfterMs;
  }
}

/** The ledger has been stopped; it neither opens records nor holds those of others. */
export class LedgerStoppedError extends SnipehavenError {
  readonly code = 'ledger_stopped';
}

/** A message was meant for another life of the daemon at this address. */
export class WrongPeerError extends SnipehavenError {
  readonly code = 'wrong_peer';
}

/** A row or object of the ledger does not have its form. */
export class LedgerDataError extends SnipehavenError {
  readonly code = 'ledger_data';
}

/** A call did not end in time. */
export class LedgerTimeoutError extends SnipehavenError {
  readonly code = 'ledger_timeout';
}

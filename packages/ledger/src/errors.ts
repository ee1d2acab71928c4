/** Errors of the usage ledger. */
import { SnipehavenError } from '@snipehaven/common';

/** The limit of pending records is reached; the request must be refused as not run. */
export class LedgerFullError extends SnipehavenError {
  readonly code = 'ledger_full';

  readonly retryAfterMs: number;

  constructor(pendingCount: number, retryAfterMs: number) {
    super(`ledger is full: ${pendingCount} usage records are pending`);
    this.retryAfterMs = retryAfterMs;
  }
}

/** The ledger is stopped; it neither opens records nor accepts replicas. */
export class LedgerStoppedError extends SnipehavenError {
  readonly code = 'ledger_stopped';
}

/** The message was meant for another incarnation of the daemon at this address. */
export class WrongPeerError extends SnipehavenError {
  readonly code = 'wrong_peer';
}

/** A row or object of the ledger does not match its schema. */
export class LedgerDataError extends SnipehavenError {
  readonly code = 'ledger_data';
}

/** A call did not end in time. */
export class LedgerTimeoutError extends SnipehavenError {
  readonly code = 'ledger_timeout';
}

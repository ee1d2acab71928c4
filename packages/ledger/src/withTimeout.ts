/** A bound on how long a call of the ledger may take. */
import { withTimeout as withCommonTimeout } from '@snipehaven/common';
import { LedgerTimeoutError } from './errors.js';

/** Rejects with `LedgerTimeoutError` when the call of that name has not ended in time. */
export const withTimeout = <Result>(
  call: Promise<Result>,
  timeoutMs: number,
  name: string,
): Promise<Result> =>
  withCommonTimeout(
    call,
    timeoutMs,
    () => new LedgerTimeoutError(`${name} took over ${timeoutMs} ms`),
  );

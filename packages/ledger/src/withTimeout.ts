/** Timeout for calls made by the ledger. */
import { withTimeout as withCommonTimeout } from '@snipehaven/common';
import { LedgerTimeoutError } from './errors.js';

/** Rejects with `LedgerTimeoutError`, which names the call, if it does not end in time. */
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

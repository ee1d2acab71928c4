/** The row of a lease in the platform's table. */
import { LEASE_PREFIX } from '../constants.js';
import { LeaseRowMalformedError } from '../errors.js';

export interface LeaseRow {
  /** Incarnation of the holder; null after a release. */
  readonly holder: string | null;
  /** Differs for each write, so that a writer knows its own when the reply was lost. */
  readonly token: string;
  /** Rises with each change of holder and never falls, also over releases. */
  readonly fence: number;
  readonly durationMs: number;
  /** Counts the holder's extensions. */
  readonly renewals: number;
}

/** A lease row and the version that the table gave it; version 0 and no value when absent. */
export interface VersionedLeaseRow {
  readonly version: number;
  readonly value: LeaseRow | undefined;
}

export const getLeaseKey = (name: string): string => `${LEASE_PREFIX}${name}`;

const isLeaseRow = (value: unknown): value is LeaseRow => {
  const row = value as Partial<LeaseRow> | null;
  return (
    typeof row === 'object' &&
    row !== null &&
    (row.holder === null || typeof row.holder === 'string') &&
    typeof row.token === 'string' &&
    Number.isSafeInteger(row.fence) &&
    Number.isFinite(row.durationMs) &&
    Number.isSafeInteger(row.renewals)
  );
};

/** Checks a row's value; throws `LeaseRowMalformedError` rather than overwrite what it can't read. */
export const restoreLeaseRow = (name: string, value: unknown): LeaseRow => {
  if (!isLeaseRow(value)) {
    throw new LeaseRowMalformedError(`the row of lease ${name} is malformed`);
  }
  return value;
};

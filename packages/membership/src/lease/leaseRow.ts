/** Row format of a lease in the platform's table. */
import { LEASE_PREFIX } from '../constants.js';
import { LeaseRowMalformedError } from '../errors.js';

export interface LeaseRow {
  /** Incarnation of the holder; null after a release. */
  readonly holder: string | null;
  /** Unique per write, so that a writer recognises its own write after a lost reply. */
  readonly token: string;
  /** Increases with each change of holder and never decreases, even after releases. */
  readonly fence: number;
  readonly durationMs: number;
  /** Number of extensions by the holder. */
  readonly renewals: number;
}

/** A lease row with its version in the table; version 0 and no value if the row does not exist. */
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

/**
 * Validates a row's value. Throws `LeaseRowMalformedError` so that an unreadable row is not
 * overwritten.
 */
export const restoreLeaseRow = (name: string, value: unknown): LeaseRow => {
  if (!isLeaseRow(value)) {
    throw new LeaseRowMalformedError(`the row of lease ${name} is malformed`);
  }
  return value;
};

/** Keys and schemas of the configuration rows in the table. */
import { z } from 'zod';
import type { TableRow } from '@snipehaven/platform';
import type { Kind, Resource, ResourceChange } from '@snipehaven/resources';
import { CHANGE_PREFIX, REQUEST_PREFIX, RESOURCE_PREFIX, REVISION_DIGITS } from './constants.js';
import { checkFormat, restoreChange, restoreResource } from './restoreChange.js';

export const getResourceKey = (kind: Kind, name: string): string =>
  `${RESOURCE_PREFIX}${kind}/${name}`;

/** Pads a revision so that keys sort numerically. */
export const padRevision = (revision: number): string =>
  String(revision).padStart(REVISION_DIGITS, '0');

export const getChangeKey = (revision: number): string =>
  `${CHANGE_PREFIX}${padRevision(revision)}`;

export const getRequestKey = (clientRequestId: string): string =>
  `${REQUEST_PREFIX}${encodeURIComponent(clientRequestId)}`;

const headSchema = z.object({ revision: z.int().nonnegative() });
const requestSchema = z.object({ revision: z.int().positive(), digest: z.string() });
const changeRowSchema = z.object({ change: z.unknown(), clientRequestId: z.string() });

/** Head revision, and the version of its row for conditional writes. */
export interface Head {
  readonly revision: number;
  readonly version: number;
}

/** The revision written by a client request, and a digest of the request. */
export type RequestRow = z.infer<typeof requestSchema>;

export interface ChangeRow {
  readonly change: ResourceChange;
  readonly clientRequestId: string;
}

export const restoreHead = (row: TableRow | undefined): Head =>
  row
    ? checkFormat(row.key, () => ({ ...headSchema.parse(row.value), version: row.version }))
    : { revision: 0, version: 0 };

export const restoreRequestRow = (row: TableRow): RequestRow =>
  checkFormat(row.key, () => requestSchema.parse(row.value));

export const restoreChangeRow = (row: TableRow): ChangeRow => {
  const { change, clientRequestId } = checkFormat(row.key, () => changeRowSchema.parse(row.value));
  return { change: restoreChange(change), clientRequestId };
};

export const restoreResourceRow = (row: TableRow): Resource => restoreResource(row.value);

/** Keys and forms of the configuration's rows in the table. */
import { z } from 'zod';
import type { TableRow } from '@snipehaven/platform';
import type { Kind, Resource, ResourceChange } from '@snipehaven/resources';
import { CHANGE_PREFIX, REQUEST_PREFIX, RESOURCE_PREFIX, REVISION_DIGITS } from './constants.js';
import { guardForm, restoreChange, restoreResource } from './restoreChange.js';

export const getResourceKey = (kind: Kind, name: string): string =>
  `${RESOURCE_PREFIX}${kind}/${name}`;

/** Pads a revision so that keys sort as numbers do. */
export const padRevision = (revision: number): string =>
  String(revision).padStart(REVISION_DIGITS, '0');

export const getChangeKey = (revision: number): string =>
  `${CHANGE_PREFIX}${padRevision(revision)}`;

export const getRequestKey = (clientRequestId: string): string =>
  `${REQUEST_PREFIX}${encodeURIComponent(clientRequestId)}`;

const headSchema = z.object({ revision: z.int().nonnegative() });
const requestSchema = z.object({ revision: z.int().positive(), digest: z.string() });
const changeRowSchema = z.object({ change: z.unknown(), clientRequestId: z.string() });

/** The head as read: its revision, and the row's version for conditions. */
export interface Head {
  readonly revision: number;
  readonly version: number;
}

/** Which revision a client request wrote, with a digest of what it asked for. */
export type RequestRow = z.infer<typeof requestSchema>;

export interface ChangeRow {
  readonly change: ResourceChange;
  readonly clientRequestId: string;
}

export const restoreHead = (row: TableRow | undefined): Head =>
  row
    ? guardForm(row.key, () => ({ ...headSchema.parse(row.value), version: row.version }))
    : { revision: 0, version: 0 };

export const restoreRequestRow = (row: TableRow): RequestRow =>
  guardForm(row.key, () => requestSchema.parse(row.value));

export const restoreChangeRow = (row: TableRow): ChangeRow => {
  const { change, clientRequestId } = guardForm(row.key, () => changeRowSchema.parse(row.value));
  return { change: restoreChange(change), clientRequestId };
};

export const restoreResourceRow = (row: TableRow): Resource => restoreResource(row.value);

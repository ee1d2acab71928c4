/** Builds the change and the table transaction of a write. */
import { createHash } from 'node:crypto';
import { isDeepStrictEqual } from 'node:util';
import type { Random } from '@snipehaven/common';
import type { TableTransaction } from '@snipehaven/platform';
import type { Kind, Resource, ResourceChange, ResourceManifest } from '@snipehaven/resources';
import { HEAD_KEY, UID_DIGITS } from './constants.js';
import { getChangeKey, getRequestKey, getResourceKey, type Head } from './rows.js';

/** A write requested by an operator; it deletes the resource if there is no spec. */
export interface WriteRequest {
  readonly kind: Kind;
  readonly name: string;
  readonly resourceVersion?: number;
  readonly spec?: ResourceManifest['spec'];
  readonly clientRequestId: string;
  readonly isDryRun: boolean;
}

/** Table contents that the write is based on. */
export interface WriteBase {
  readonly head: Head;
  readonly present: Resource | undefined;
  readonly rowVersion: number;
}

/** Digest that distinguishes a repeated request from a different one with the same id. */
export const digestRequest = ({ kind, name, spec }: WriteRequest): string =>
  createHash('sha256')
    .update(JSON.stringify([kind, name, spec ?? null]))
    .digest('base64url');

/** Whether the resource already has the requested spec, so that no write is needed. */
export const isUnchanged = (request: WriteRequest, present: Resource | undefined): boolean =>
  present !== undefined && isDeepStrictEqual(present.spec, request.spec);

const createUid = (random: Random): string =>
  Array.from({ length: UID_DIGITS }, () => random.nextInt(36).toString(36)).join('');

/** Builds the written resource. A resource that is recreated under an old name gets a new uid. */
export const buildResource = (
  { kind, name, spec }: WriteRequest & { readonly spec: ResourceManifest['spec'] },
  { head, present }: WriteBase,
  random: Random,
): Resource => {
  const nowMs = Date.now();
  return {
    kind,
    metadata: {
      name,
      uid: present?.metadata.uid ?? createUid(random),
      resourceVersion: head.revision + 1,
      generation: (present?.metadata.generation ?? 0) + 1,
      createdAtMs: present?.metadata.createdAtMs ?? nowMs,
      updatedAtMs: nowMs,
    },
    spec,
  };
};

export const buildChange = (
  request: WriteRequest,
  base: WriteBase,
  random: Random,
): ResourceChange => {
  const { kind, name, spec } = request;
  const change = { revision: base.head.revision + 1, kind, name };
  return spec === undefined
    ? change
    : { ...change, resource: buildResource({ ...request, spec }, base, random) };
};

/**
 * The condition on the head row orders all writes: a write whose reply was lost and that arrives
 * late finds a newer head and has no effect. The condition on the request row rejects a second
 * write with the same client request id, whatever was written in between.
 */
export const buildTransaction = (
  request: WriteRequest,
  base: WriteBase,
  change: ResourceChange,
): TableTransaction => {
  const resourceKey = getResourceKey(request.kind, request.name);
  const requestKey = getRequestKey(request.clientRequestId);
  const { revision } = change;
  const { clientRequestId } = request;
  return {
    conditions: [
      { key: HEAD_KEY, version: base.head.version },
      { key: resourceKey, version: base.rowVersion },
      { key: requestKey, version: 0 },
    ],
    writes: [
      { key: HEAD_KEY, value: { revision } },
      { key: resourceKey, value: change.resource ?? null },
      { key: getChangeKey(revision), value: { change, clientRequestId } },
      { key: requestKey, value: { revision, digest: digestRequest(request) } },
    ],
  };
};

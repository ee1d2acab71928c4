/**
 * Which rows of the operator and the upstreams go before those of a store that has come back from a
 * copy, and for how long. Each kind of row shows by itself what is newer, as its versions do not.
 */
import {
  MAX_RETENTION_MS,
  type KnownRow,
  type RetentionPolicy,
  type StoreRow,
} from '../store/index.js';
import type { Upstream } from '../types.js';
import type { OperatorDocument, PlatformAdapter } from './types.js';

/** Time in which the operator writes again what the copy lacks. */
const OPERATOR_RETENTION_MS = 5_000;

/** Upstreams that are alive write their row again with one of their next heartbeats. */
const UPSTREAM_RETENTION_MS = 2_500;

/** The store removes the row of an upstream that has ended some heartbeats after its return. */
const ENDED_UPSTREAM_RETENTION_MS = MAX_RETENTION_MS;

/** Undefined for a row that cannot be decoded, which is reported where it is applied. */
const tryDecode = <Document>(decode: () => Document): Document | undefined => {
  try {
    return decode();
  } catch {
    return undefined;
  }
};

type OperatorRowOrder = (
  written: { readonly row: StoreRow; readonly document: OperatorDocument },
  known: { readonly row: KnownRow; readonly document: OperatorDocument },
) => boolean;

const isOlderByKind: Readonly<Record<OperatorDocument['kind'], OperatorRowOrder>> = {
  configuration: ({ document: written }, { document: known }) =>
    written.kind === 'configuration' &&
    known.kind === 'configuration' &&
    written.configuration.version < known.configuration.version,
  // The row of an order that was lost has a greater version than any row of the copy.
  rollout: ({ row: written }, { row: known }) =>
    known.isRemoved
      ? written.version <= known.version
      : written.value !== known.value && written.version <= known.version,
  // Sending nothing is safe; an evacuation of the copy that was taken back is taken back again.
  evacuation: () => false,
};

export const createOperatorRetention = (
  adapter: Pick<PlatformAdapter, 'restoreOperatorRow'>,
): RetentionPolicy => ({
  isOlder: (row, knownRow) => {
    const written = tryDecode(() => adapter.restoreOperatorRow(row));
    const known = tryDecode(() => adapter.restoreOperatorRow(knownRow));
    return (
      written !== undefined &&
      known !== undefined &&
      isOlderByKind[known.kind]({ row, document: written }, { row: knownRow, document: known })
    );
  },
  getRetentionMs: () => OPERATOR_RETENTION_MS,
});

/** An upstream that drains or has left never comes back in the same life. */
const isOlderLife = (written: Upstream, known: Upstream, isRemoved: boolean): boolean => {
  const { sequence: writtenSequence = 0 } = written;
  const { sequence: knownSequence = 0 } = known;
  return (
    (known.state === 'draining' && written.state === 'ready') ||
    writtenSequence < knownSequence ||
    (isRemoved && writtenSequence === knownSequence)
  );
};

export const createUpstreamRetention = (
  adapter: Pick<PlatformAdapter, 'restoreUpstream'>,
): RetentionPolicy => ({
  isOlder: (row, knownRow) => {
    const written = tryDecode(() => adapter.restoreUpstream(row));
    const known = tryDecode(() => adapter.restoreUpstream(knownRow));
    if (written === undefined || known === undefined) {
      return false;
    }
    const { bornAtMs: writtenBornAtMs = 0 } = written;
    const { bornAtMs: knownBornAtMs = 0 } = known;
    if (writtenBornAtMs !== knownBornAtMs) {
      return writtenBornAtMs < knownBornAtMs;
    }
    // Heartbeats may have raised the sequence in a row without a change of the row's version.
    const isSameRow = knownRow.isRemoved && row.version === knownRow.version;
    return isSameRow || isOlderLife(written, known, knownRow.isRemoved);
  },
  getRetentionMs: ({ isRemoved }) =>
    isRemoved ? ENDED_UPSTREAM_RETENTION_MS : UPSTREAM_RETENTION_MS,
});

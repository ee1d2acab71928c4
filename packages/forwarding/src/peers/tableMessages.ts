/**
 * Messages that carry a whole table to a daemon that lacks changes: the request for it, and the
 * parts of a table that is too large for one datagram. A table that fits is a join message.
 */
import { createHash } from 'node:crypto';
import { forgetOldest } from '@snipehaven/common';
import { isEra } from '../store/storeEra.js';
import type { StoreRevision } from '../store/storeRevision.js';
import type { TableSnapshot } from '../store/types.js';
import { compressDatagram, parseDatagram } from './datagram.js';
import { decodeJoinMessage, encodeJoinMessage, isPeer } from './joinMessages.js';
import type { Peer } from './peerDirectory.js';

/** Asks for a table that includes all changes up to a revision of the store. */
export interface TableRequest {
  readonly peer: Peer;
  readonly table: string;
  readonly atLeast: StoreRevision;
}

export interface TablePart {
  readonly table: string;
  /**
   * Of all bytes of the table. Parts with different digests do not belong together: a table of
   * the same version is encoded anew when the store confirms it.
   */
  readonly digest: string;
  readonly index: number;
  readonly count: number;
  /** In base64. */
  readonly bytes: string;
}

export type TableMessage =
  | { readonly kind: 'tableRequest'; readonly tableRequest: TableRequest }
  | { readonly kind: 'tablePart'; readonly tablePart: TablePart };

const PART_BYTES = 20_000;

/** Larger tables are not sent; a daemon's receive buffer holds about ten parts. */
const MAX_PARTS = 8;

const encodeMessage = (message: TableMessage): Buffer => compressDatagram(JSON.stringify(message));

export const encodeTableRequest = (tableRequest: TableRequest): Buffer =>
  encodeMessage({ kind: 'tableRequest', tableRequest });

const createDigest = (bytes: Buffer): string => createHash('sha256').update(bytes).digest('base64');

const encodeParts = (snapshot: TableSnapshot): readonly Buffer[] => {
  const { table } = snapshot;
  const bytes = compressDatagram(JSON.stringify({ kind: 'table', table: snapshot }));
  const count = Math.ceil(bytes.length / PART_BYTES);
  const digest = createDigest(bytes);
  return Array.from({ length: count }, (_, index) => {
    const part = bytes.subarray(index * PART_BYTES, (index + 1) * PART_BYTES).toString('base64');
    return encodeMessage({
      kind: 'tablePart',
      tablePart: { table, digest, index, count, bytes: part },
    });
  });
};

/** The datagrams of a table; none if it is too large. */
export const encodeTable = (table: TableSnapshot): readonly Buffer[] => {
  const whole = encodeJoinMessage({ kind: 'table', table });
  if (whole !== undefined) {
    return [whole];
  }
  const parts = encodeParts(table);
  return parts.length <= MAX_PARTS ? parts : [];
};

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const isTableRequest = (value: unknown): value is TableRequest =>
  isObject(value) &&
  isPeer(value.peer) &&
  typeof value.table === 'string' &&
  isObject(value.atLeast) &&
  isEra(value.atLeast.era) &&
  Number.isFinite(value.atLeast.version);

const isTablePart = (value: unknown): value is TablePart =>
  isObject(value) &&
  typeof value.table === 'string' &&
  typeof value.digest === 'string' &&
  Number.isInteger(value.count) &&
  (value.count as number) <= MAX_PARTS &&
  Number.isInteger(value.index) &&
  (value.index as number) >= 0 &&
  (value.index as number) < (value.count as number) &&
  typeof value.bytes === 'string';

/** Undefined if the decoded datagram is neither a request nor a part. */
export const decodeTableMessage = (value: unknown): TableMessage | undefined => {
  const isValid =
    isObject(value) &&
    ((value.kind === 'tableRequest' && isTableRequest(value.tableRequest)) ||
      (value.kind === 'tablePart' && isTablePart(value.tablePart)));
  return isValid ? (value as unknown as TableMessage) : undefined;
};

/** Tables of which some parts are missing; more than a daemon asks for at a time. */
const MAX_ASSEMBLIES = 16;

interface Assembly {
  readonly digest: string;
  readonly parts: Map<number, string>;
}

/** Joins the parts of tables that other daemons send. */
export class PartAssembler {
  /** Keyed by sender and table. */
  readonly #assemblies = new Map<string, Assembly>();

  /** Returns the table once all its parts have been received. */
  add(host: string, part: TablePart): TableSnapshot | undefined {
    const { table, digest, index, count, bytes } = part;
    const key = `${host}/${table}`;
    const known = this.#assemblies.get(key);
    const assembly = known?.digest === digest ? known : { digest, parts: new Map() };
    assembly.parts.set(index, bytes);
    this.#assemblies.set(key, assembly);
    forgetOldest(this.#assemblies, MAX_ASSEMBLIES);
    if (assembly.parts.size < count) {
      return undefined;
    }
    this.#assemblies.delete(key);
    const parts = Array.from({ length: count }, (_, at) => assembly.parts.get(at) ?? '');
    const joined = Buffer.concat(parts.map((one) => Buffer.from(one, 'base64')));
    if (createDigest(joined) !== digest) {
      return undefined;
    }
    const message = decodeJoinMessage(parseDatagram(joined));
    return message?.kind === 'table' ? message.table : undefined;
  }
}

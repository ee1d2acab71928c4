/** Changes of a table that a reader relays to other daemons, as compressed JSON. */
import { compressDatagram, readMessageParts } from './datagram.js';
import { isEra } from '../store/storeEra.js';
import type { StoreChange } from '../store/types.js';

/**
 * All changes of a table after the store version `after`, up to and including `upTo`; both are
 * versions of the era.
 */
export interface TableChanges {
  readonly table: string;
  readonly era: number;
  readonly after: number;
  readonly upTo: number;
  /** The store's monotonic clock when it returned the changes. */
  readonly serverTimeMs: number;
  readonly items: readonly StoreChange[];
}

/**
 * Larger messages are not relayed: a datagram holds 64 KB, several readers each send to twenty
 * daemons over 10 Mbit/s, and each daemon can read the changes itself.
 */
const MAX_MESSAGE_BYTES = 16_000;

type WireRow = readonly [key: string, version: number, value: string | null];
type WireChanges = readonly [
  table: string,
  after: number,
  upTo: number,
  serverTimeMs: number,
  rows: readonly WireRow[],
  era: number,
];

interface WireMessage {
  readonly changes: WireChanges;
}

/** Undefined if the changes are too large to be relayed. */
export const encodeChanges = (changes: TableChanges): Buffer | undefined => {
  const { table, era, after, upTo, serverTimeMs, items } = changes;
  const rows = items.map(({ key, version, value }): WireRow => [key, version, value ?? null]);
  const message: WireMessage = { changes: [table, after, upTo, serverTimeMs, rows, era] };
  const bytes = compressDatagram(JSON.stringify(message));
  return bytes.length <= MAX_MESSAGE_BYTES ? bytes : undefined;
};

const isWireRow = (value: unknown): value is WireRow =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  typeof value[1] === 'number' &&
  (value[2] === null || typeof value[2] === 'string');

const toChange = ([key, version, value]: WireRow, era: number): StoreChange =>
  value === null ? { key, era, version } : { key, era, version, value };

/**
 * Undefined if the decoded datagram contains no valid changes. Daemons that do not know eras name
 * none, so that their versions cannot be placed in a later one.
 */
export const decodeChanges = (message: unknown): TableChanges | undefined => {
  const [table, after, upTo, serverTimeMs, rows, era = 0] =
    readMessageParts(message, 'changes') ?? [];
  const isValid =
    typeof table === 'string' &&
    typeof after === 'number' &&
    typeof upTo === 'number' &&
    typeof serverTimeMs === 'number' &&
    isEra(era) &&
    Array.isArray(rows) &&
    rows.every(isWireRow);
  return isValid
    ? { table, era, after, upTo, serverTimeMs, items: rows.map((row) => toChange(row, era)) }
    : undefined;
};

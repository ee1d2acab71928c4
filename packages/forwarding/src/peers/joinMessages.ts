/** Messages that a starting daemon exchanges with the other daemons, as compressed JSON. */
import { isEra, isEraAge } from '../store/storeEra.js';
import type { RetainedRow } from '../store/rowRetention.js';
import type { StoreRow, TableSnapshot } from '../store/types.js';
import { compressDatagram } from './datagram.js';
import type { ReaderReport } from './loadMessage.js';
import type { Peer } from './peerDirectory.js';

/** What the sender of a hello requests: nothing, the roster, or all that is known. */
export type HelloQuestion = 'nothing' | 'roster' | 'all';

/** Announces a daemon, and may request what the receiver knows. */
export interface Hello {
  readonly peer: Peer;
  readonly asks: HelloQuestion;
  /** Returned with the answer. */
  readonly questionId: number;
}

/** Upper and lower bound of the store's clock, in answer to a hello. */
export interface ClockBounds {
  readonly questionId: number;
  readonly storeNowAtMostMs: number;
  readonly storeNowAtLeastMs?: number;
}

/** A known daemon and the time since it was last heard of, directly or through others. */
export interface RosterEntry {
  readonly peer: Peer;
  readonly ageMs: number;
}

export type JoinMessage =
  | { readonly kind: 'hello'; readonly hello: Hello }
  | { readonly kind: 'clock'; readonly clock: ClockBounds }
  | { readonly kind: 'roster'; readonly roster: readonly RosterEntry[] }
  | { readonly kind: 'readers'; readonly readers: readonly ReaderReport[] }
  | { readonly kind: 'table'; readonly table: TableSnapshot }
  /** The name of a known table that is too large for a datagram. */
  | { readonly kind: 'untold'; readonly untold: string };

/** A datagram holds 64 KB, and many daemons may start at once over links of 14 Mbit/s. */
const MAX_MESSAGE_BYTES = 32_000;

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const isString = (value: unknown): value is string => typeof value === 'string';

const isNumber = (value: unknown): value is number => Number.isFinite(value);

export const isPeer = (value: unknown): value is Peer =>
  isObject(value) &&
  isString(value.vm) &&
  isString(value.dataCentre) &&
  isString(value.host) &&
  Number.isInteger(value.port) &&
  (value.port as number) > 0 &&
  (value.port as number) <= 65_535;

const QUESTIONS: readonly unknown[] = ['nothing', 'roster', 'all'] satisfies HelloQuestion[];

const isHello = (value: unknown): value is Hello =>
  isObject(value) &&
  isPeer(value.peer) &&
  QUESTIONS.includes(value.asks) &&
  isNumber(value.questionId);

const isClock = (value: unknown): value is ClockBounds =>
  isObject(value) &&
  isNumber(value.questionId) &&
  isNumber(value.storeNowAtMostMs) &&
  (value.storeNowAtLeastMs === undefined || isNumber(value.storeNowAtLeastMs));

const isRosterEntry = (value: unknown): value is RosterEntry =>
  isObject(value) && isPeer(value.peer) && isNumber(value.ageMs) && value.ageMs >= 0;

/** Daemons that do not know eras name none. */
const isOptionalEra = (value: unknown): boolean => value === undefined || isEra(value);

const isOptionalEraAge = (value: unknown): boolean => value === undefined || isEraAge(value);

const isRow = (value: unknown): value is StoreRow =>
  isObject(value) &&
  isString(value.key) &&
  isString(value.value) &&
  isOptionalEra(value.era) &&
  isNumber(value.version);

const isReaderReport = (value: unknown): value is ReaderReport =>
  isObject(value) &&
  isString(value.table) &&
  isString(value.vm) &&
  isString(value.dataCentre) &&
  isOptionalEra(value.era) &&
  isNumber(value.lastChange) &&
  isNumber(value.serverTimeMs);

const isRetainedRow = (value: unknown): value is RetainedRow =>
  isObject(value) &&
  typeof value.isRemoved === 'boolean' &&
  isNumber(value.leftMs) &&
  isEra(value.era) &&
  isRow(value);

const isTable = (value: unknown): value is TableSnapshot =>
  isObject(value) &&
  isString(value.table) &&
  isOptionalEra(value.era) &&
  isOptionalEraAge(value.eraAgeMs) &&
  isNumber(value.version) &&
  isNumber(value.lastChange) &&
  isNumber(value.serverTimeMs) &&
  Array.isArray(value.rows) &&
  value.rows.every(isRow) &&
  (value.retained === undefined ||
    (Array.isArray(value.retained) && value.retained.every(isRetainedRow)));

const isListOf =
  (isItem: (value: unknown) => boolean) =>
  (value: unknown): boolean =>
    Array.isArray(value) && value.every(isItem);

/** Validators of the content, keyed by message kind. */
const VALIDATORS: Readonly<Record<JoinMessage['kind'], (content: unknown) => boolean>> = {
  hello: isHello,
  clock: isClock,
  roster: isListOf(isRosterEntry),
  readers: isListOf(isReaderReport),
  table: isTable,
  untold: isString,
};

const isJoinMessageKind = (kind: unknown): kind is JoinMessage['kind'] =>
  isString(kind) && Object.hasOwn(VALIDATORS, kind);

/** Sets the era 0 where a message names none. */
const addEras = (message: JoinMessage): JoinMessage => {
  if (message.kind === 'readers') {
    return { ...message, readers: message.readers.map((one) => ({ ...one, era: one.era ?? 0 })) };
  }
  if (message.kind === 'table') {
    const { table } = message;
    const era = table.era ?? 0;
    const rows = table.rows.map((row) => ({ ...row, era: row.era ?? era }));
    return { ...message, table: { ...table, era, rows } };
  }
  return message;
};

/** Undefined if the message is too large. */
export const encodeJoinMessage = (message: JoinMessage): Buffer | undefined => {
  const bytes = compressDatagram(JSON.stringify(message));
  return bytes.length <= MAX_MESSAGE_BYTES ? bytes : undefined;
};

/** Undefined if the decoded datagram is not a valid join message. */
export const decodeJoinMessage = (value: unknown): JoinMessage | undefined => {
  if (!isObject(value) || !isJoinMessageKind(value.kind)) {
    return undefined;
  }
  const { kind } = value;
  return VALIDATORS[kind](value[kind]) ? addEras(value as unknown as JoinMessage) : undefined;
};

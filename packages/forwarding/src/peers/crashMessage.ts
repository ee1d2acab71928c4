/** Messages about upstreams that crashed and suspects that were answered, as compressed JSON. */
import { asId, type RequestDigest } from '@snipehaven/common';
import {
  fromSuspectTuple,
  toSuspectTuple,
  type CrashReport,
  type Suspect,
  type SuspectTuple,
} from '@snipehaven/policy';
import { compressDatagram, readMessageParts } from './datagram.js';

/** A request or a part of prompts that was answered completely. */
export interface AnsweredSuspect {
  readonly digest: RequestDigest;
  /** Time in ms since its latest complete answer began, when the message is sent. */
  readonly beganAgoMs: number;
}

export interface CrashMessage {
  readonly ends: readonly CrashReport[];
  /** Suspects that were answered completely. */
  readonly answered: readonly AnsweredSuspect[];
  /** Incarnation ids of upstreams that were reported as crashed but are alive. */
  readonly alive: readonly string[];
}

export const EMPTY_CRASH_MESSAGE: CrashMessage = { ends: [], answered: [], alive: [] };

/**
 * Suspects reported per crashed upstream, most suspect first; more than an engine accepts from one
 * daemon.
 */
const MAX_SUSPECTS = 400;

/** The last fields are missing where they are not told. */
type WireSuspect = readonly [...suspect: SuspectTuple, sentForMs?: number, elsewhere?: number];

type WireEnd = readonly [
  lifeId: string,
  suspects: readonly WireSuspect[],
  inFlightElsewhere?: number,
];

type WireAnswered = readonly [digest: string, beganAgoMs: number];

interface WireMessage {
  readonly crashes: readonly [
    ends: readonly WireEnd[],
    answered: readonly WireAnswered[],
    alive: readonly string[],
  ];
}

const toWireSuspect = (suspect: Suspect): WireSuspect => {
  const { sentForMs, elsewhere } = suspect;
  const tuple = toSuspectTuple(suspect);
  if (sentForMs === undefined) {
    return tuple;
  }
  const sentFor = Math.round(sentForMs);
  return elsewhere === undefined ? [...tuple, sentFor] : [...tuple, sentFor, elsewhere];
};

const fromWireSuspect = ([
  digest,
  mark,
  attemptId,
  sentForMs,
  elsewhere,
]: WireSuspect): Suspect => ({
  ...fromSuspectTuple([digest, mark, attemptId]),
  ...(sentForMs === undefined ? {} : { sentForMs }),
  ...(elsewhere === undefined ? {} : { elsewhere }),
});

const toWireEnd = ({ lifeId, suspects, inFlightElsewhere }: CrashReport): WireEnd => {
  const mostSuspectFirst = suspects.map(toWireSuspect).sort(([, a], [, b]) => b - a);
  const told = mostSuspectFirst.slice(0, MAX_SUSPECTS);
  return inFlightElsewhere === undefined ? [lifeId, told] : [lifeId, told, inFlightElsewhere];
};

const fromWireEnd = ([lifeId, suspects, inFlightElsewhere]: WireEnd): CrashReport => ({
  lifeId,
  suspects: suspects.map(fromWireSuspect),
  ...(inFlightElsewhere === undefined ? {} : { inFlightElsewhere }),
});

const toWireAnswered = ({ digest, beganAgoMs }: AnsweredSuspect): WireAnswered => [
  digest,
  Math.round(beganAgoMs),
];

export const encodeCrashMessage = ({ ends, answered, alive }: CrashMessage): Buffer => {
  const message: WireMessage = {
    crashes: [ends.map(toWireEnd), answered.map(toWireAnswered), alive],
  };
  return compressDatagram(JSON.stringify(message));
};

const isNonEmptyString = (value: unknown): value is string =>
  typeof value === 'string' && value !== '';

const isNonEmptyStrings = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.every(isNonEmptyString);

const isNonNegative = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

const isWireSuspect = (value: unknown): value is WireSuspect =>
  Array.isArray(value) &&
  isNonEmptyString(value[0]) &&
  (value[1] === 0 || value[1] === 1) &&
  typeof value[2] === 'string' &&
  (value[3] === undefined || isNonNegative(value[3])) &&
  (value[4] === undefined || isNonNegative(value[4]));

const isWireAnswered = (value: unknown): value is WireAnswered =>
  Array.isArray(value) && isNonEmptyString(value[0]) && isNonNegative(value[1]);

const isWireEnd = (value: unknown): value is WireEnd =>
  Array.isArray(value) &&
  isNonEmptyString(value[0]) &&
  Array.isArray(value[1]) &&
  value[1].every(isWireSuspect) &&
  (value[2] === undefined || isNonNegative(value[2]));

/** Undefined if the decoded datagram is not a valid crash message. */
export const decodeCrashMessage = (message: unknown): CrashMessage | undefined => {
  const [ends, answered, alive] = readMessageParts(message, 'crashes') ?? [];
  const isValid =
    Array.isArray(ends) &&
    ends.every(isWireEnd) &&
    Array.isArray(answered) &&
    answered.every(isWireAnswered) &&
    isNonEmptyStrings(alive);
  return isValid
    ? {
        ends: ends.map(fromWireEnd),
        answered: answered.map(([digest, beganAgoMs]) => ({
          digest: asId<RequestDigest>(digest),
          beganAgoMs,
        })),
        alive,
      }
    : undefined;
};

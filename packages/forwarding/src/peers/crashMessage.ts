/**
 * Messages about upstreams that crashed and requests that were cleared of suspicion, as compressed
 * JSON.
 */
import { asId, type RequestDigest } from '@snipehaven/common';
import {
  fromSuspectTuple,
  toSuspectTuple,
  type CrashReport,
  type SuspectTuple,
} from '@snipehaven/policy';
import { compressDatagram, readMessageParts } from './datagram.js';

export interface CrashMessage {
  readonly ends: readonly CrashReport[];
  /** Requests that were answered completely after an upstream had crashed while running them. */
  readonly cleared: readonly RequestDigest[];
  /** Incarnation ids of upstreams that were reported as crashed but are alive. */
  readonly alive: readonly string[];
}

export const EMPTY_CRASH_MESSAGE: CrashMessage = { ends: [], cleared: [], alive: [] };

/**
 * Suspects reported per crashed upstream, most suspect first; more than an engine accepts from one
 * daemon.
 */
const MAX_SUSPECTS = 400;

type WireEnd = readonly [lifeId: string, suspects: readonly SuspectTuple[]];

interface WireMessage {
  readonly crashes: readonly [
    ends: readonly WireEnd[],
    cleared: readonly string[],
    alive: readonly string[],
  ];
}

const toWireEnd = ({ lifeId, suspects }: CrashReport): WireEnd => {
  const mostSuspectFirst = suspects.map(toSuspectTuple).sort(([, a], [, b]) => b - a);
  return [lifeId, mostSuspectFirst.slice(0, MAX_SUSPECTS)];
};

export const encodeCrashMessage = ({ ends, cleared, alive }: CrashMessage): Buffer => {
  const message: WireMessage = { crashes: [ends.map(toWireEnd), cleared, alive] };
  return compressDatagram(JSON.stringify(message));
};

const isNonEmptyString = (value: unknown): value is string =>
  typeof value === 'string' && value !== '';

const isNonEmptyStrings = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.every(isNonEmptyString);

const isSuspectTuple = (value: unknown): value is SuspectTuple =>
  Array.isArray(value) &&
  isNonEmptyString(value[0]) &&
  (value[1] === 0 || value[1] === 1) &&
  typeof value[2] === 'string';

const isWireEnd = (value: unknown): value is WireEnd =>
  Array.isArray(value) &&
  isNonEmptyString(value[0]) &&
  Array.isArray(value[1]) &&
  value[1].every(isSuspectTuple);

/** Undefined if the decoded datagram is not a valid crash message. */
export const decodeCrashMessage = (message: unknown): CrashMessage | undefined => {
  const [ends, cleared, alive] = readMessageParts(message, 'crashes') ?? [];
  const isValid =
    Array.isArray(ends) &&
    ends.every(isWireEnd) &&
    isNonEmptyStrings(cleared) &&
    isNonEmptyStrings(alive);
  return isValid
    ? {
        ends: ends.map(([lifeId, suspects]) => ({
          lifeId,
          suspects: suspects.map(fromSuspectTuple),
        })),
        cleared: cleared.map((digest) => asId<RequestDigest>(digest)),
        alive,
      }
    : undefined;
};

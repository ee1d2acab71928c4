/** The message by which daemons tell each other which services have brittle upstreams. */
import { readMessageParts } from './datagram.js';

/** An answer of an upstream of the service said how many requests it can turn away. */
export interface BrittleNews {
  readonly service: string;
  /** From all daemons together. */
  readonly rejectionsPerS: number;
  /** Time in ms since the answer arrived, when the message is sent. */
  readonly heardAgoMs: number;
}

type WireNews = readonly [service: string, rejectionsPerS: number, heardAgoMs: number];

export const encodeBrittle = (news: readonly BrittleNews[]): Buffer => {
  const wire = news.map(({ service, rejectionsPerS, heardAgoMs }): WireNews => [
    service,
    rejectionsPerS,
    Math.round(heardAgoMs),
  ]);
  return Buffer.from(JSON.stringify({ brittle: wire }));
};

const isNonNegative = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

const isWireNews = (value: unknown): value is WireNews =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  isNonNegative(value[1]) &&
  isNonNegative(value[2]);

/** Undefined if the decoded datagram is not such a message. */
export const decodeBrittle = (message: unknown): readonly BrittleNews[] | undefined => {
  const parts = readMessageParts(message, 'brittle');
  return parts?.every(isWireNews)
    ? parts.map(([service, rejectionsPerS, heardAgoMs]) => ({
        service,
        rejectionsPerS,
        heardAgoMs,
      }))
    : undefined;
};

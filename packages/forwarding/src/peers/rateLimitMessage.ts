/** The message by which daemons tell each other of upstreams' rate limits, as compressed JSON. */
import { compressDatagram, readMessageParts } from './datagram.js';

/** What one answer of an upstream said about its rate limit. */
export interface RateLimitNews {
  /** Identifies the incarnation of the upstream. */
  readonly lifeId: string;
  /** Requests per second from all daemons together; null if the answer named no limit. */
  readonly requestsPerS: number | null;
  /** Time in ms since the answered request was sent, when the message is sent. */
  readonly sentAgoMs: number;
  /** Time in ms since the answer arrived, when the message is sent. */
  readonly heardAgoMs: number;
}

type WireNews = readonly [
  lifeId: string,
  requestsPerS: number | null,
  sentAgoMs: number,
  heardAgoMs: number,
];

export const encodeRateLimits = (news: readonly RateLimitNews[]): Buffer => {
  const wire = news.map((one): WireNews => {
    const { lifeId, requestsPerS, sentAgoMs, heardAgoMs } = one;
    return [lifeId, requestsPerS, Math.round(sentAgoMs), Math.round(heardAgoMs)];
  });
  return compressDatagram(JSON.stringify({ rateLimits: wire }));
};

const isNonNegative = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

const isWireNews = (value: unknown): value is WireNews =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  (value[1] === null || isNonNegative(value[1])) &&
  isNonNegative(value[2]) &&
  isNonNegative(value[3]);

/** Undefined if the decoded datagram is not such a message. */
export const decodeRateLimits = (message: unknown): readonly RateLimitNews[] | undefined => {
  const parts = readMessageParts(message, 'rateLimits');
  return parts?.every(isWireNews)
    ? parts.map(([lifeId, requestsPerS, sentAgoMs, heardAgoMs]) => ({
        lifeId,
        requestsPerS,
        sentAgoMs,
        heardAgoMs,
      }))
    : undefined;
};

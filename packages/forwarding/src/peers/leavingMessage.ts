/** The message by which daemons tell each other which upstreams are leaving, as compressed JSON. */
import { compressDatagram, readMessageParts } from './datagram.js';

/** One incarnation of an upstream said that it is leaving. */
export interface LeavingNews {
  readonly lifeId: string;
  /** Time in ms since a daemon first heard of it, when the message is sent. */
  readonly sinceMs: number;
}

type WireNews = readonly [lifeId: string, sinceMs: number];

export const encodeLeavings = (news: readonly LeavingNews[]): Buffer => {
  const wire = news.map(({ lifeId, sinceMs }): WireNews => [lifeId, Math.round(sinceMs)]);
  return compressDatagram(JSON.stringify({ leavings: wire }));
};

const isWireNews = (value: unknown): value is WireNews =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  Number.isFinite(value[1]) &&
  (value[1] as number) >= 0;

/** Undefined if the decoded datagram is not such a message. */
export const decodeLeavings = (message: unknown): readonly LeavingNews[] | undefined => {
  const parts = readMessageParts(message, 'leavings');
  return parts?.every(isWireNews)
    ? parts.map(([lifeId, sinceMs]) => ({ lifeId, sinceMs }))
    : undefined;
};

/** The message by which daemons spread that a version was judged bad, as compressed JSON. */
import { isEra } from '../store/storeEra.js';
import type { StoreRevision } from '../store/storeRevision.js';
import { compressDatagram, readMessageParts } from './datagram.js';

/** Identifies the roll-out order whose new version is bad. */
export interface BadVersionMessage {
  readonly service: string;
  /** Distinguishes successive orders of a service. */
  readonly orderRevision: StoreRevision;
}

interface WireMessage {
  readonly badVersion: readonly [service: string, orderVersion: number, era: number];
}

export const encodeBadVersion = ({ service, orderRevision }: BadVersionMessage): Buffer => {
  const { era, version } = orderRevision;
  const message: WireMessage = { badVersion: [service, version, era] };
  return compressDatagram(JSON.stringify(message));
};

/** Undefined if the decoded datagram is not such a message. Without an era it is of era 0. */
export const decodeBadVersion = (message: unknown): BadVersionMessage | undefined => {
  const [service, version, era = 0] = readMessageParts(message, 'badVersion') ?? [];
  return typeof service === 'string' && typeof version === 'number' && isEra(era)
    ? { service, orderRevision: { era, version } }
    : undefined;
};

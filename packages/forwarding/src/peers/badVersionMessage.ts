/** The message by which daemons spread that a version was judged bad, as compressed JSON. */
import { compressDatagram, readMessageParts } from './datagram.js';

/** Identifies the roll-out order whose new version is bad. */
export interface BadVersionMessage {
  readonly service: string;
  /** Distinguishes successive orders of a service. */
  readonly orderVersion: number;
}

interface WireMessage {
  readonly badVersion: readonly [service: string, orderVersion: number];
}

export const encodeBadVersion = ({ service, orderVersion }: BadVersionMessage): Buffer => {
  const message: WireMessage = { badVersion: [service, orderVersion] };
  return compressDatagram(JSON.stringify(message));
};

/** Undefined if the decoded datagram is not such a message. */
export const decodeBadVersion = (message: unknown): BadVersionMessage | undefined => {
  const [service, orderVersion] = readMessageParts(message, 'badVersion') ?? [];
  return typeof service === 'string' && typeof orderVersion === 'number'
    ? { service, orderVersion }
    : undefined;
};

/** Decodes datagrams and dispatches them by message type. */
import { decodeBrittle, type BrittleNews } from './brittleMessage.js';
import { decodeChanges, type TableChanges } from './changesMessage.js';
import { decodeCrashMessage, type CrashMessage } from './crashMessage.js';
import { decodeJoinMessage, type JoinMessage } from './joinMessages.js';
import type { PlaceMessage } from '../places/types.js';
import { decodeLoadMessage } from './loadMessage.js';
import type { LoadDatagram } from './loadSharingStrategy.js';
import { decodeTableMessage, type TableMessage } from './tableMessages.js';
import { decodeBadVersion, type BadVersionMessage } from './badVersionMessage.js';
import { decodeLeavings, type LeavingNews } from './leavingMessage.js';
import { decodePlaceMessage } from './placeMessage.js';
import { decodeRateLimits, type RateLimitNews } from './rateLimitMessage.js';

/** A decoded datagram with its raw bytes. */
export interface ReceivedDatagram {
  readonly value: unknown;
  readonly bytes: Buffer;
  /** The sender's address. */
  readonly host: string;
}

export interface MessageHandlers {
  readonly loads: (datagram: LoadDatagram) => void;
  readonly changes: (changes: TableChanges, datagram: ReceivedDatagram) => void;
  readonly join: (message: JoinMessage, datagram: ReceivedDatagram) => void;
  readonly tables: (message: TableMessage, datagram: ReceivedDatagram) => void;
  readonly crashes: (report: CrashMessage) => void;
  readonly badVersion: (report: BadVersionMessage) => void;
  readonly rateLimits: (news: readonly RateLimitNews[]) => void;
  readonly leavings: (news: readonly LeavingNews[]) => void;
  readonly brittle: (news: readonly BrittleNews[]) => void;
  readonly places: (message: PlaceMessage) => void;
}

/** Returns the message type, or undefined if the handler does not know the message. */
export type DatagramHandler = (datagram: ReceivedDatagram) => string | undefined;

const createHandler =
  <Message>(
    restore: (value: unknown) => Message | undefined,
    handle: (message: Message, datagram: ReceivedDatagram) => void,
    getKind: (message: Message) => string,
  ): DatagramHandler =>
  (datagram) => {
    const message = restore(datagram.value);
    if (message === undefined) {
      return undefined;
    }
    handle(message, datagram);
    return getKind(message);
  };

/** Sorted by how frequent the messages are. */
export const createDatagramHandlers = (handlers: MessageHandlers): readonly DatagramHandler[] => [
  createHandler(
    decodeLoadMessage,
    (message, { bytes, host }) => handlers.loads({ message, bytes, host }),
    ({ scope }) => scope,
  ),
  createHandler(decodePlaceMessage, handlers.places, () => 'places'),
  createHandler(decodeChanges, handlers.changes, () => 'changes'),
  createHandler(decodeJoinMessage, handlers.join, ({ kind }) => kind),
  createHandler(decodeTableMessage, handlers.tables, ({ kind }) => kind),
  createHandler(decodeCrashMessage, handlers.crashes, () => 'crashes'),
  createHandler(decodeBadVersion, handlers.badVersion, () => 'badVersion'),
  createHandler(decodeRateLimits, handlers.rateLimits, () => 'rateLimits'),
  createHandler(decodeLeavings, handlers.leavings, () => 'leavings'),
  createHandler(decodeBrittle, handlers.brittle, () => 'brittle'),
];

export const dispatchDatagram = (
  datagramHandlers: readonly DatagramHandler[],
  datagram: ReceivedDatagram,
): string => {
  for (const handler of datagramHandlers) {
    const kind = handler(datagram);
    if (kind !== undefined) {
      return kind;
    }
  }
  return 'stray';
};

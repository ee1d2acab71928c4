/** Sends and receives datagrams; tests replace it by a simulated network of many daemons. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { SocketAddress } from '../types.js';

export interface DatagramPort {
  /** Rejects if the address cannot be used. `host`: the sender's address. */
  open(onDatagram: (bytes: Buffer, host: string) => void): Promise<void>;
  send(bytes: Buffer, to: SocketAddress): void;
  close(): void;
}

/** Opens a UDP socket bound to the address; `onReceived` is called before each datagram is read. */
export const createUdpPort = (
  address: SocketAddress,
  logger: Logger,
  onReceived: (host: string) => void = () => {},
): DatagramPort => {
  const socket = createSocket('udp4');
  const logFailure = (error: Error): void => {
    logger.warn({ event: 'datagramFailed', cause: getErrorMessage(error) }, 'datagram failed');
  };
  return {
    open: async (onDatagram) => {
      socket.on('message', (bytes, { address: host }) => {
        onReceived(host);
        onDatagram(bytes, host);
      });
      const opened = once(socket, 'listening');
      socket.bind(address.port, address.host);
      await opened;
      socket.on('error', logFailure);
    },
    send: (bytes, { host, port }) => socket.send(bytes, port, host),
    close: () => socket.close(),
  };
};

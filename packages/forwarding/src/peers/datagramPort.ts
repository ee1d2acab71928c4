/** Where a daemon sends and gets datagrams; tests play a network of many daemons in its place. */
import { createSocket } from 'node:dgram';
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { SocketAddress } from '../types.js';

export interface DatagramPort {
  /** `host`: the sender's. */
  open(take: (bytes: Buffer, host: string) => void): Promise<void>;
  send(bytes: Buffer, to: SocketAddress): void;
  close(): void;
}

/** A UDP socket at the address. */
export const createUdpPort = (address: SocketAddress, logger: Logger): DatagramPort => {
  const socket = createSocket('udp4');
  const noteFailure = (error: Error): void => {
    logger.warn({ event: 'datagramFailed', cause: getErrorMessage(error) }, 'datagram failed');
  };
  return {
    open: async (take) => {
      socket.on('message', (bytes, { address: host }) => take(bytes, host));
      socket.on('error', noteFailure);
      await new Promise<void>((resolve) => {
        socket.bind(address.port, address.host, resolve);
      });
    },
    send: (bytes, { host, port }) => socket.send(bytes, port, host),
    close: () => socket.close(),
  };
};

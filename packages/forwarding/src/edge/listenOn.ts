/** Starts a server on an address or on a listener that is already open. */
import type { Server } from 'node:http';
import type { SocketAddress } from '../types.js';
import type { CallerListener } from './types.js';

/** Accept queue length while the process is busy; beyond it callers' SYN packets are dropped. */
const LISTEN_BACKLOG = 1_024;

/**
 * Serves all connections of the listener, including those already accepted. The server tracks
 * connections only once it listens; others would be left out when it closes its connections.
 */
export const adoptListener = (server: Server, listener: CallerListener): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(listener.server, LISTEN_BACKLOG, () => {
      listener.sockets.splice(0).forEach((socket) => {
        server.emit('connection', socket);
        socket.resume();
      });
      resolve();
    });
  });

/** Resolves once the server listens; rejects if it cannot. */
export const listenOn = (server: Server, { host, port }: SocketAddress): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve);
  });

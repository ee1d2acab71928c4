/** Starts a server. */
import type { Server } from 'node:http';
import type { SocketAddress } from '../types.js';
import type { CallerListener } from './types.js';

/** Connections that wait to be taken while the process is busy; beyond, callers' opening packets are lost. */
const LISTEN_BACKLOG = 1_024;

/** From now on the server takes what comes to the listener, and what has come. */
export const adoptListener = (server: Server, listener: CallerListener): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(listener.server, LISTEN_BACKLOG, resolve);
    listener.sockets.splice(0).forEach((socket) => {
      server.emit('connection', socket);
      socket.resume();
    });
  });

/** Resolves once the server listens; rejects when it cannot. */
export const listenOn = (server: Server, { host, port }: SocketAddress): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve);
  });

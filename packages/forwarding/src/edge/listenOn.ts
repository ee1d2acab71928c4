/** Starts a server. */
import type { Server } from 'node:http';
import type { SocketAddress } from '../types.js';

/** Connections that wait to be taken while the process is busy; beyond, callers' opening packets are lost. */
const BACKLOG = 1_024;

/** Resolves once the server listens; rejects when it cannot. */
export const listenOn = (server: Server, { host, port }: SocketAddress): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: BACKLOG }, resolve);
  });

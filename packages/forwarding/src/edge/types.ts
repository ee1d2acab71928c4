/** Types of the caller-facing servers. */
import type { Server, Socket } from 'node:net';
import type { SocketAddress } from '../types.js';

/** A server that has been listening for callers since before the daemon was loaded. */
export interface CallerListener extends SocketAddress {
  readonly server: Server;
  /** Connections accepted meanwhile, paused. */
  readonly sockets: Socket[];
}

/** Creates an HTTP server whose connections, and the requests on them, are bounded. */
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import { boundedMessages } from './boundedMessages.js';
import { CallerConnections } from './callerConnections.js';
import type { LimitReporter } from './limitReporter.js';

export interface BoundedServer {
  readonly server: Server;
  readonly connections: CallerConnections;
}

export const createBoundedServer = (
  options: ServerOptions,
  maxConnections: number,
  reporter: LimitReporter,
  listener: RequestListener,
): BoundedServer => {
  const server = createServer({ ...options, ...boundedMessages }, listener);
  return { server, connections: new CallerConnections(server, maxConnections, reporter) };
};

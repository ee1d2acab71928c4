/** The thin HTTP edge that the stand-ins share: routes, bodies, errors, control of connections. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { ZodType } from 'zod';
import { CLIENT_HEADER, MAX_BODY_SIZE_BYTES } from './constants.js';
import { ConnectionLostError, InvalidCallError, NotFoundError, StandinError } from './errors.js';

export interface ListenOptions {
  /** 127.x.y.z; 127.0.0.1 without. */
  readonly address?: string | undefined;
  /** 0 or none: any free port. */
  readonly port?: number | undefined;
}

/** A JSON answer; bytes are sent as they are. */
export interface EdgeReply {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** One call at the edge. */
export interface EdgeCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly client: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Answers a call; undefined where the handler has written the answer itself. */
export type EdgeHandler = (call: EdgeCall) => Promise<EdgeReply | undefined>;

/** Handlers by `METHOD /path`; a path that ends in `/*` takes all below it. */
export type EdgeRoutes = Readonly<Record<string, EdgeHandler>>;

/** What to do to the connections that are open now; new ones work. */
export type ConnectionFault = 'silence' | 'break';

/** One stand-in that listens. */
export interface StandinServer {
  readonly url: string;
  readonly address: string;
  readonly port: number;
  /** Open connections go silent for good or break, but for the one given. */
  faultConnections(fault: ConnectionFault, except?: Socket): void;
  stop(): Promise<void>;
}

const DEFAULT_ADDRESS = '127.0.0.1';
const JSON_TYPE = 'application/json';

/** Reads a call's whole body. */
export const readBody = (request: IncomingMessage): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BODY_SIZE_BYTES) {
        reject(new InvalidCallError('body is too large'));
        request.destroy();
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
    });
    request.on('error', (cause) => reject(new ConnectionLostError('caller left', { cause })));
  });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new InvalidCallError('body is not JSON', { cause });
  }
};

/** Reads a JSON body and checks it against the schema. */
export const readJson = async <Value>(call: EdgeCall, schema: ZodType<Value>): Promise<Value> => {
  const body = await readBody(call.request);
  const result = schema.safeParse(parseJson(body.toString('utf8')));
  if (!result.success) {
    throw new InvalidCallError(result.error.message);
  }
  return result.data;
};

/** The text of a header; undefined where it is not set. */
export const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** A whole number from the query, or the default. */
export const getQueryNumber = (call: EdgeCall, name: string, otherwise: number): number => {
  const value = Number(call.query.get(name) ?? otherwise);
  if (!Number.isSafeInteger(value)) {
    throw new InvalidCallError(`${name} is not a whole number`);
  }
  return value;
};

const encodeBody = (body: unknown): string | Uint8Array => {
  if (body === undefined) {
    return '';
  }
  return body instanceof Uint8Array ? body : JSON.stringify(body);
};

const sendReply = (response: ServerResponse, reply: EdgeReply): void => {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const body = encodeBody(reply.body);
  const type = body instanceof Uint8Array ? 'application/octet-stream' : JSON_TYPE;
  response.writeHead(reply.status, {
    'content-type': type,
    'content-length': Buffer.byteLength(body),
    ...reply.headers,
  });
  response.end(body);
};

/** Connections that went silent for good. */
const silentSockets = new WeakSet<Socket>();

/** Breaks a response's connection; a silent one stays open. */
export const breakConnection = (response: ServerResponse): void => {
  if (!response.socket || !silentSockets.has(response.socket)) {
    response.destroy();
  }
};

const sendError = (response: ServerResponse, error: unknown): void => {
  if (error instanceof ConnectionLostError) {
    breakConnection(response);
    return;
  }
  if (error instanceof StandinError) {
    sendReply(response, { status: error.status, headers: error.headers, body: error.getBody() });
    return;
  }
  sendReply(response, { status: 500, body: { error: { message: String(error) } } });
};

const WILDCARD = '/*';

/** Finds the handler of a path: its own first, then the longest wildcard above it. */
const findHandler = (routes: EdgeRoutes, method: string, path: string): EdgeHandler => {
  const exact = routes[`${method} ${path}`];
  if (exact) {
    return exact;
  }
  for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
    const above = path.slice(0, end) + WILDCARD;
    const handler = routes[`${method} ${above}`] ?? routes[`* ${above}`];
    if (handler) {
      return handler;
    }
    if (end === 0) {
      break;
    }
  }
  throw new NotFoundError(`no ${method} ${path}`);
};

const getClient = (request: IncomingMessage): string =>
  getHeader(request, CLIENT_HEADER) ?? request.socket.remoteAddress ?? '';

const toCall = (request: IncomingMessage, response: ServerResponse): EdgeCall => {
  const url = request.url ?? '/';
  const queryAt = url.indexOf('?');
  return {
    method: request.method ?? 'GET',
    path: queryAt < 0 ? url : url.slice(0, queryAt),
    query: new URLSearchParams(queryAt < 0 ? '' : url.slice(queryAt + 1)),
    client: getClient(request),
    request,
    response,
  };
};

const handleRequest = async (
  routes: EdgeRoutes,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  if (silentSockets.has(request.socket)) {
    return;
  }
  try {
    const call = toCall(request, response);
    const reply = await findHandler(routes, call.method, call.path)(call);
    if (reply) {
      sendReply(response, reply);
    }
  } catch (error) {
    sendError(response, error);
  }
};

/**
 * Makes a connection go silent for good: nothing more is read from it or written to it, while it
 * stays open. The peer notices only by its own timeout. Corking would not do, as the end of a
 * response uncorks its socket.
 */
const silenceSocket = (socket: Socket): void => {
  silentSockets.add(socket);
  Object.assign(socket, { write: () => true, end: () => socket, destroySoon: () => {} });
  socket.pause();
  socket.on('resume', () => socket.pause());
};

const connectionFaults: Readonly<Record<ConnectionFault, (socket: Socket) => void>> = {
  silence: silenceSocket,
  break: (socket) => socket.destroy(),
};

const listen = (server: Server, options: ListenOptions): Promise<AddressInfo> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port ?? 0, options.address ?? DEFAULT_ADDRESS, () => {
      server.off('error', reject);
      resolve(server.address() as AddressInfo);
    });
  });

const trackSockets = (server: Server): Set<Socket> => {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    socket.setNoDelay(true);
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  return sockets;
};

/** Listens and serves the routes until stopped. */
export const startEdge = async (
  routes: EdgeRoutes,
  options: ListenOptions = {},
): Promise<StandinServer> => {
  const server = createServer((request, response) => {
    void handleRequest(routes, request, response);
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  const sockets = trackSockets(server);
  const { address, port } = await listen(server, options);
  return {
    url: `http://${address}:${port}`,
    address,
    port,
    faultConnections: (fault, except) =>
      [...sockets].filter((socket) => socket !== except).forEach(connectionFaults[fault]),
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
};

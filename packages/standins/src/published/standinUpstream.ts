/** A stand-in of a worker: a raw TCP server, so that it can misbehave below HTTP. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** A request as it came over the wire. */
export interface SeenRequest {
  readonly requestLine: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Answers on the raw connection; what it writes is what the router reads. */
export type UpstreamBehaviour = (request: SeenRequest, socket: Socket) => void;

export const SIGNATURE_HEADER = 'X-Response-Signature';

const HEAD_END = '\r\n\r\n';

const parseHead = (head: string): Pick<SeenRequest, 'requestLine' | 'headers'> => {
  const [requestLine = '', ...lines] = head.split('\r\n');
  const headers = lines.map((line) => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
  });
  return { requestLine, headers: new Map(headers) };
};

/** The head of an answer to the request, signed as an upstream signs what it ran. */
export const renderHead = (
  request: SeenRequest,
  status: number,
  extra: Readonly<Record<string, string>>,
): string => {
  const headers = {
    'X-Attempt-Id': request.headers.get('x-attempt-id') ?? '',
    [SIGNATURE_HEADER]: `signed-${request.headers.get('x-attempt-id')}`,
    ...extra,
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join('\r\n')}${HEAD_END}`;
};

export const answerWith =
  (status: number, body: string, extra: Readonly<Record<string, string>> = {}): UpstreamBehaviour =>
  (request, socket) => {
    const length = { 'Content-Length': String(Buffer.byteLength(body)) };
    socket.write(renderHead(request, status, { ...length, ...extra }) + body);
  };

/** States that it did not run the request. */
export const refuseNotRun: UpstreamBehaviour = (request, socket) => {
  socket.write(renderHead(request, 503, { 'X-Not-Executed': '1', 'Content-Length': '0' }));
};

export const renderChunk = (text: string): string =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

export const renderEvent = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

/** Streams events after the request's last one; stops in the middle of an event when told to. */
export const streamEvents =
  (
    count: number,
    options: {
      readonly cutAfter?: number;
      readonly headers?: Readonly<Record<string, string>>;
    } = {},
  ): UpstreamBehaviour =>
  (request, socket) => {
    const from = Number(request.headers.get('last-event-id') ?? 0);
    const head = { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' };
    socket.write(renderHead(request, 200, { ...head, ...options.headers }));
    for (let id = from + 1; id <= count; id += 1) {
      if (options.cutAfter !== undefined && id > options.cutAfter) {
        socket.write(renderChunk(renderEvent(id).slice(0, 9)));
        socket.resetAndDestroy();
        return;
      }
      socket.write(renderChunk(renderEvent(id)));
    }
    socket.write('0\r\n\r\n');
  };

export class StandinUpstream {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  readonly seen: SeenRequest[] = [];

  connections = 0;

  #behave: UpstreamBehaviour;

  constructor(behave: UpstreamBehaviour) {
    this.#behave = behave;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  setBehaviour(behave: UpstreamBehaviour): void {
    this.#behave = behave;
  }

  stop(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #serve(socket: Socket): void {
    this.connections += 1;
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      received = this.#takeRequests(received, socket);
    });
  }

  /** Answers each whole request; returns what is left. */
  #takeRequests(received: string, socket: Socket): string {
    let rest = received;
    for (;;) {
      const end = rest.indexOf(HEAD_END);
      if (end < 0) {
        return rest;
      }
      const head = parseHead(rest.slice(0, end));
      const length = Number(head.headers.get('content-length') ?? 0);
      const bodyAt = end + HEAD_END.length;
      if (rest.length < bodyAt + length) {
        return rest;
      }
      const request = { ...head, body: rest.slice(bodyAt, bodyAt + length) };
      rest = rest.slice(bodyAt + length);
      this.seen.push(request);
      this.#behave(request, socket);
    }
  }
}

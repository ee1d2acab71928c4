/** An operator API on a loopback port that answers what a test sets. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';

/** A call as the API got it. */
export interface SeenCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: unknown;
}

/** An answer; `cut` closes the connection instead, as when a reply is lost. */
export type FakeReply = { readonly status: number; readonly body: unknown } | 'cut';

/** Answers a call, or takes the response over and returns undefined. */
export type FakeHandler = (call: SeenCall, response: ServerResponse) => FakeReply | undefined;

export interface FakeApi {
  readonly url: string;
  readonly calls: SeenCall[];
  /** Handlers by method and path, such as `GET /api/status`. */
  readonly handlers: Map<string, FakeHandler>;
  close(): Promise<void>;
}

export const ok = (body: unknown): FakeReply => ({ status: 200, body });

export const fail = (status: number, code: string, detail: object = {}): FakeReply => ({
  status,
  body: { error: { code, message: `told ${code}`, ...detail } },
});

const readCall = async (request: IncomingMessage): Promise<SeenCall> => {
  const url = new URL(request.url ?? '', 'http://fake');
  const body = await text(request);
  return {
    method: request.method ?? '',
    path: decodeURIComponent(url.pathname),
    query: url.searchParams,
    headers: request.headers,
    body: body === '' ? undefined : (JSON.parse(body) as unknown),
  };
};

const send = (response: ServerResponse, reply: FakeReply): void => {
  if (reply === 'cut') {
    response.destroy();
    return;
  }
  response.writeHead(reply.status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(reply.body));
};

/** Starts an API that answers 404 to what has no handler. */
export const startFakeApi = async (): Promise<FakeApi> => {
  const calls: SeenCall[] = [];
  const handlers = new Map<string, FakeHandler>();
  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const call = await readCall(request);
    calls.push(call);
    const handle = handlers.get(`${call.method} ${call.path}`) ?? (() => fail(404, 'not_found'));
    const reply = handle(call, response);
    if (reply !== undefined) {
      send(response, reply);
    }
  };
  const server = createServer((request, response) => {
    answer(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.closeAllConnections();
      server.close(() => resolve());
    });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, calls, handlers, close };
};

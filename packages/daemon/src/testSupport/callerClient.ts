/** Callers of a test daemon: well-behaved ones by `node:http`, others by a bare socket. */
import { once } from 'node:events';
import {
  request as sendHttp,
  type ClientRequest,
  type IncomingMessage,
  type RequestOptions,
} from 'node:http';
import { connect, type Socket } from 'node:net';
import { testKeys, type TestDaemon } from './startTestDaemon.js';

export interface CallOptions {
  readonly method?: string;
  readonly path?: string;
  /** Null: no key at all. */
  readonly key?: string | null;
  readonly headers?: Readonly<Record<string, string>>;
  /** Objects are sent as JSON. */
  readonly body?: object | string | Uint8Array;
  /** Sent without a declared length. */
  readonly isChunked?: boolean;
}

export interface CallAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
}

/** A refusal as callers see it. */
export interface ErrorAnswer {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: string;
    readonly run: string;
  };
}

/** A valid body of a chat; the prompt decides the answer, `max_tokens` its length. */
export const createChat = (fields: object = {}): object => ({
  model: 'small',
  messages: [{ role: 'user', content: 'the frame buffer overflows' }],
  max_tokens: 5,
  ...fields,
});

const encodeBody = ({ body }: CallOptions): string | Uint8Array | undefined =>
  typeof body === 'object' && !(body instanceof Uint8Array) ? JSON.stringify(body) : body;

const toRequestOptions = (address: string, options: CallOptions): RequestOptions => {
  const { key = testKeys.narrow, headers } = options;
  const [host, port] = address.split(':');
  const body = encodeBody(options);
  const isSized = body !== undefined && options.isChunked !== true;
  return {
    host,
    port,
    agent: false,
    method: options.method ?? 'POST',
    path: options.path ?? '/v1/chat/completions',
    headers: {
      ...(key === null ? {} : { authorization: `Bearer ${key}` }),
      ...(isSized ? { 'content-length': Buffer.byteLength(body) } : {}),
      ...headers,
    },
  };
};

/** Sends a request; the caller decides what becomes of it. */
export const openCall = ({ callers }: TestDaemon, options: CallOptions): ClientRequest => {
  const body = encodeBody(options);
  const call = sendHttp(toRequestOptions(callers, options));
  call.on('error', () => undefined);
  if (options.isChunked === true) {
    call.write(body);
    call.end();
  } else {
    call.end(body);
  }
  return call;
};

export const readText = async (answer: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of answer) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** Calls and reads the whole answer; rejects where the connection breaks. */
export const callDaemon = async (
  daemon: TestDaemon,
  options: CallOptions = {},
): Promise<CallAnswer> => {
  const call = openCall(daemon, options);
  const [answer] = (await once(call, 'response')) as [IncomingMessage];
  const text = await readText(answer);
  return { status: answer.statusCode ?? 0, headers: answer.headers, text };
};

/** The data of the events in a streamed answer. */
export const listEvents = (text: string): readonly string[] =>
  text
    .split('\n\n')
    .filter((event) => event.startsWith('data: '))
    .map((event) => event.slice('data: '.length));

/** The text of a request as it goes over the wire. */
export const toWire = (body: object, headers: Readonly<Record<string, string>> = {}): string => {
  const text = JSON.stringify(body);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${testKeys.wide}\r\n${lines.join('')}content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
};

/** A connection whose bytes the test writes itself. */
export const openSocket = async ({ callers }: TestDaemon): Promise<Socket> => {
  const [host, port] = callers.split(':');
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
};

/** All that comes over the connection until the daemon closes it. */
export const readUntilClosed = async (socket: Socket): Promise<string> => {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  if (!socket.destroyed) {
    await new Promise((resolve) => {
      socket.on('end', resolve);
      socket.on('close', resolve);
    });
  }
  socket.destroy();
  return Buffer.concat(chunks).toString('utf8');
};

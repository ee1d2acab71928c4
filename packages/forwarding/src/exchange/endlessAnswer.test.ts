import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_ANSWER_BYTES } from '../constants.js';
import type { AnswerMetadata, HeaderDialect } from '../types.js';
import { ConnectionPool } from './connectionPool.js';
import { DirectConnector } from './directConnector.js';
import { Exchange } from './exchange.js';
import type { UpstreamConnection } from './upstreamConnection.js';

const MIB = 1_048_576;
const MAX_WAIT_MS = 20_000;

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED_HEAD = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

interface Framing {
  readonly name: string;
  readonly start: string;
  readonly rest: string;
  /** Bytes that may be read before the connection is closed. */
  readonly maxBytes: number;
}

/** What the sockets' buffers may hold besides what is read. */
const IN_TRANSIT_BYTES = 16 * MIB;
const FRAMING_BYTES = IN_TRANSIT_BYTES;
const BODY_BYTES = MAX_ANSWER_BYTES + IN_TRANSIT_BYTES;

const FRAMINGS: readonly Framing[] = [
  { name: 'bytes that are no HTTP', start: '', rest: 'x'.repeat(8_192), maxBytes: FRAMING_BYTES },
  { name: 'a header line', start: `${OK}A: `, rest: 'x'.repeat(8_192), maxBytes: FRAMING_BYTES },
  { name: 'header lines', start: OK, rest: 'A: b\r\n'.repeat(1_000), maxBytes: FRAMING_BYTES },
  {
    name: 'interim heads',
    start: '',
    rest: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(300),
    maxBytes: FRAMING_BYTES,
  },
  {
    name: "a chunk's extension",
    start: `${CHUNKED_HEAD}5;a=`,
    rest: 'x'.repeat(8_192),
    maxBytes: FRAMING_BYTES,
  },
  {
    name: "zeros before a chunk's size",
    start: CHUNKED_HEAD,
    rest: '0'.repeat(8_192),
    maxBytes: FRAMING_BYTES,
  },
  {
    name: 'trailers',
    start: `${CHUNKED_HEAD}0\r\n`,
    rest: 'A: b\r\n'.repeat(1_000),
    maxBytes: FRAMING_BYTES,
  },
  {
    name: 'a chunked body',
    start: CHUNKED_HEAD,
    rest: `2000\r\n${'x'.repeat(8_192)}\r\n`,
    maxBytes: BODY_BYTES,
  },
  {
    name: 'a body whose length is announced',
    start: `${OK}Content-Length: 1000000000000000\r\n\r\n`,
    rest: 'x'.repeat(8_192),
    maxBytes: BODY_BYTES,
  },
  {
    name: 'a body that ends with the connection',
    start: `${OK}Connection: close\r\n\r\n`,
    rest: 'x'.repeat(8_192),
    maxBytes: BODY_BYTES,
  },
];

const dialect = {
  readAnswer: () => ({ attemptId: 'a', isNotRun: false }) as unknown as AnswerMetadata,
} as unknown as HeaderDialect;

/** Sends the framing's bytes as fast as they are read, until the connection is closed. */
const flood = (socket: Socket, { start, rest }: Framing): void => {
  const piece = Buffer.from(rest);
  const send = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('error', () => {});
  socket.on('drain', send);
  socket.once('data', () => {
    socket.write(start);
    send();
  });
};

const listen = async (server: Server): Promise<number> => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
};

for (const framing of FRAMINGS) {
  test(`${framing.name} without end: read up to a limit, and no complete answer`, async () => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      flood(socket, framing);
    });
    const port = await listen(server);
    const pool = new ConnectionPool(new DirectConnector({ host: '127.0.0.1', port }));
    const outcome = await new Promise<string>((resolve) => {
      const timer = setTimeout(() => resolve('nothing'), MAX_WAIT_MS);
      const settle = (result: string): void => {
        clearTimeout(timer);
        resolve(result);
      };
      const request = {
        method: 'GET',
        target: '/',
        headers: { host: 'h' },
        body: Buffer.alloc(0),
        attemptId: 'a',
        isFreshConnectionNeeded: false,
        usedConnections: new Set<UpstreamConnection>(),
      };
      new Exchange(pool, request, dialect, {
        onReadable: () => {},
        onHead: () => {},
        onData: () => {},
        onEnd: () => settle('complete'),
        onFailure: () => settle('failed'),
      }).start();
    });
    const [socket] = sockets;
    if (socket !== undefined && !socket.destroyed) {
      await new Promise((done) => {
        socket.once('close', done);
        setTimeout(done, 2_000);
      });
    }
    const isClosed = socket?.destroyed === true;
    const readBytes = (socket?.bytesWritten ?? 0) - (socket?.writableLength ?? 0);
    socket?.destroy();
    server.close();
    pool.close();
    assert.is(outcome, 'failed');
    assert.ok(isClosed, 'the connection is still open');
    assert.ok(readBytes <= framing.maxBytes, `${readBytes} bytes were sent`);
  });
}

test.run();

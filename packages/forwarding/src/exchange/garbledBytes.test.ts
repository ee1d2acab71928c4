/** Answers with bytes changed, dropped, doubled or added, and how an exchange ends with them. */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { createRandom, type Random } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { AnswerMetadata, HeaderDialect } from '../types.js';
import { ConnectionPool } from './connectionPool.js';
import { DirectConnector } from './directConnector.js';
import { Exchange } from './exchange.js';
import type { UpstreamConnection } from './upstreamConnection.js';

const ANSWERS = 1_500;

/** An answer that leaves its request without an end is closed by the upstream after this. */
const CLOSE_AFTER_MS = 20;
const MAX_WAIT_MS = 5_000;

const dialect: HeaderDialect = {
  readAnswer: (_status: number, headers: Readonly<Record<string, unknown>>) =>
    ({ attemptId: headers.id, isNotRun: false }) as unknown as AnswerMetadata,
} as unknown as HeaderDialect;

const BODY = 'whole body of the answer';
const HEAD = 'HTTP/1.1 200 OK\r\nid: a\r\n';

const soundAnswers = [
  `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  `${HEAD}Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  `${HEAD}Content-Length: ${BODY.length}\r\nConnection: close\r\n\r\n${BODY}`,
] as const;

type Change = (bytes: Buffer, at: number, random: Random) => Buffer;

const changes: readonly Change[] = [
  (bytes, at, random) => {
    const copy = Buffer.from(bytes);
    copy[at] = random.nextInt(256);
    return copy;
  },
  (bytes, at, random) =>
    Buffer.concat([bytes.subarray(0, at), bytes.subarray(at + 1 + random.nextInt(8))]),
  (bytes, at, random) =>
    Buffer.concat([bytes.subarray(0, at + random.nextInt(20)), bytes.subarray(at)]),
  (bytes, at, random) =>
    Buffer.concat([
      bytes.subarray(0, at),
      Buffer.from(Array.from({ length: 1 + random.nextInt(8) }, () => random.nextInt(256))),
      bytes.subarray(at),
    ]),
  (bytes, at) => bytes.subarray(0, at),
  (bytes) => Buffer.concat([bytes, bytes]),
];

const garble = (random: Random): Buffer => {
  const sound = Buffer.from(soundAnswers[random.nextInt(soundAnswers.length)] ?? '');
  const change = changes[random.nextInt(changes.length)];
  return change?.(sound, random.nextInt(sound.length), random) ?? sound;
};

interface Outcome {
  readonly kind: 'complete' | 'failed' | 'nothing';
  readonly body: string;
}

/** Pauses now and then, as for a caller that reads slowly. */
const exchange = (pool: ConnectionPool, random: Random): Promise<Outcome> =>
  new Promise((resolve) => {
    let body = '';
    const finish = (kind: Outcome['kind']): void => {
      clearTimeout(timer);
      resolve({ kind, body });
    };
    const timer = setTimeout(() => finish('nothing'), MAX_WAIT_MS);
    const request = {
      method: 'GET',
      target: '/',
      headers: { host: 'h' },
      body: Buffer.alloc(0),
      attemptId: 'a',
      isFreshConnectionNeeded: false,
      usedConnections: new Set<UpstreamConnection>(),
    };
    const isSlow = random.next() < 0.3;
    const started = new Exchange(pool, request, dialect, {
      onReadable: () => {},
      onHead: () => {},
      onData: (bytes) => {
        body += bytes.toString();
        if (isSlow) {
          started.pause();
          setTimeout(() => started.resume(), random.nextInt(2 * CLOSE_AFTER_MS));
        }
      },
      onEnd: () => finish('complete'),
      onFailure: () => finish('failed'),
    }).start();
  });

// Guards against an answer that leaves its request, or all requests, without an end.
test('each garbled answer ends its request and no other one', async () => {
  const random = createRandom(1);
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', () => {
      socket.write(garble(random));
      setTimeout(
        () => (random.next() < 0.5 ? socket.end() : socket.resetAndDestroy()),
        CLOSE_AFTER_MS,
      );
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const pool = new ConnectionPool(new DirectConnector({ host: '127.0.0.1', port }));
  const counts = { complete: 0, failed: 0, nothing: 0 };
  for (let sent = 0; sent < ANSWERS; sent += 50) {
    const outcomes = await Promise.all(Array.from({ length: 50 }, () => exchange(pool, random)));
    outcomes.forEach(({ kind }) => {
      counts[kind] += 1;
    });
  }
  pool.close();
  server.close();
  assert.is(counts.nothing, 0);
  assert.ok(counts.complete > 0 && counts.failed > ANSWERS / 4, JSON.stringify(counts));
});

test.run();

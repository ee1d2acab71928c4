import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setInvariantsFatal } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { PlatformOutcomeUnknownError, PlatformRefusedError } from './errors.js';
import { HttpCaller, type PlatformCall } from './httpCaller.js';
import { HttpObjectStoreClient, HttpTableClient } from './httpClients.js';

setInvariantsFatal(true);

const TIMEOUT_MS = 150;
const READ: PlatformCall = { method: 'GET', path: '/vms' };

type Answer = (response: ServerResponse) => void;

const test = suite('httpCaller');
const sockets = new Set<Socket>();
let lastSocket: Socket | undefined;
let answer: Answer;
let url: string;

const server = createServer((request, response) => {
  lastSocket = request.socket;
  request.resume();
  answer(response);
});

const reply =
  (status: number, body: unknown, headers: Record<string, string> = {}): Answer =>
  (response) => {
    response.writeHead(status, headers).end(JSON.stringify(body));
  };

const getError = (call: Promise<unknown>): Promise<unknown> =>
  call.then(
    (value) => assert.unreachable(`resolved with ${JSON.stringify(value)}`),
    (error: unknown) => error,
  );

test.before(async () => {
  server.on('connection', (socket) => sockets.add(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

test.after(() => {
  server.closeAllConnections();
  server.close();
});

// Guards against a part of an object that is taken for the whole object.
test('a read that is ended by its connection alone is no answer', async () => {
  const caller = new HttpCaller(url, TIMEOUT_MS);
  answer = (response) => {
    Object.assign(response, { useChunkedEncodingByDefault: false });
    response.writeHead(200, { connection: 'close' });
    response.end('half');
  };
  assert.instance(await getError(caller.call(READ)), PlatformOutcomeUnknownError);
  await caller.close();
});

test('tells what was surely not done from what may have been done', async () => {
  // Symptom: a write is taken for not done and made again, or the other way round.
  // Sequence: the platform refuses, breaks the connection after the write, or is not there.
  // Cause: all failures look alike to the caller.
  const caller = new HttpCaller(url, TIMEOUT_MS);
  answer = reply(429, {}, { 'retry-after': '3' });
  const limited = await getError(caller.call(READ));
  assert.instance(limited, PlatformRefusedError);
  assert.is((limited as PlatformRefusedError).retryAfterMs, 3_000);
  answer = reply(503, {});
  assert.instance(await getError(caller.call(READ)), PlatformRefusedError);
  answer = (response) => response.destroy();
  assert.instance(await getError(caller.call(READ)), PlatformOutcomeUnknownError);
  answer = (response) => {
    response.writeHead(200, { 'content-length': 10 });
    response.write('half');
  };
  assert.instance(await getError(caller.call(READ)), PlatformOutcomeUnknownError);
  await caller.close();
  const nobody = new HttpCaller('http://127.0.0.1:1', TIMEOUT_MS);
  assert.instance(await getError(nobody.call(READ)), PlatformRefusedError);
  await nobody.close();
});

test('never uses a connection again that was open during a silence', async () => {
  // Symptom: the table seems down to one daemon for minutes.
  // Sequence: something between the ends forgets the kept-alive connections; calls go into them.
  // Cause: the pool hands out connections that look open.
  const caller = new HttpCaller(url, TIMEOUT_MS);
  answer = reply(200, {});
  await Promise.all([caller.call(READ), caller.call(READ)]);
  const old = new Set(sockets);
  answer = () => undefined;
  assert.instance(await getError(caller.call(READ)), PlatformOutcomeUnknownError);
  answer = reply(200, {});
  await caller.call(READ);
  assert.not.ok(old.has(lastSocket as Socket));
  await caller.close();
});

test('lets the other calls go on when one times out', async () => {
  // Symptom: claims are refused as "platform away" though the table answers.
  // Sequence: one call is lost; others are under way over the same pool.
  // Cause: the pool is destroyed with all that is in progress on it.
  const caller = new HttpCaller(url, TIMEOUT_MS);
  answer = () => undefined;
  const lost = getError(caller.call({ ...READ, timeoutMs: TIMEOUT_MS / 3 }));
  let finish: () => void = () => undefined;
  answer = (response) => {
    finish = () => reply(200, {})(response);
  };
  const slow = caller.call({ ...READ, timeoutMs: 100 * TIMEOUT_MS });
  assert.instance(await lost, PlatformOutcomeUnknownError);
  finish();
  assert.is((await slow).status, 200);
  await caller.close();
});

test('takes an answer in another form for an unknown outcome', async () => {
  // Symptom: a write that took effect is reported as a fault of the program.
  // Sequence: the write is made, and something in between answers 200 with a page of its own.
  // Cause: the error of the form is none of the platform's, so that nobody asks for the outcome.
  const table = new HttpTableClient(url, TIMEOUT_MS);
  const objects = new HttpObjectStoreClient(url, TIMEOUT_MS);
  answer = (response) => response.end('<html>');
  assert.instance(await getError(table.transact([])), PlatformOutcomeUnknownError);
  answer = reply(200, { rows: [{ key: 5 }] });
  assert.instance(await getError(table.read(['a'])), PlatformOutcomeUnknownError);
  assert.instance(await getError(objects.list('a')), PlatformOutcomeUnknownError);
  answer = reply(404, {});
  assert.is(await objects.get('a'), undefined);
  assert.instance(await getError(objects.put('a', new Uint8Array(1))), PlatformRefusedError);
});

test.run();

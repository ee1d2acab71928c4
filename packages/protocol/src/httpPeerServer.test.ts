import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import { connect, createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net';
import { setInvariantsFatal } from '@snipehaven/common';
import { request } from 'undici';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  PEER_CONNECTIONS,
  PEER_MAX_BODY_BYTES,
  PEER_PATH,
  PEER_SECRET_HEADER,
} from './constants.js';
import { PeerUnreachableError } from './errors.js';
import { createPeerRequestHandler } from './httpPeerServer.js';
import { HttpPeerTransport } from './httpPeerTransport.js';
import type { PeerHandlers } from './peerHandlers.js';

setInvariantsFatal(true);

const handlers = {
  membership: {
    probe: async ({ address }: { address: string }) => ({ isAlive: address === 'known' }),
    exchange: async () => Promise.reject(new Error('broken')),
  },
} as unknown as PeerHandlers;

const closers: (() => Promise<unknown>)[] = [];

const getAddress = (server: { address(): unknown }): string =>
  `127.0.0.1:${(server.address() as AddressInfo).port}`;

const listen = async (listener: RequestListener): Promise<string> => {
  const server: Server = createServer(listener).listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(async () => {
    server.closeAllConnections();
    server.close();
  });
  return getAddress(server);
};

const openTransport = (secret: string, timeoutMs?: number): HttpPeerTransport => {
  const transport = new HttpPeerTransport(secret, timeoutMs);
  closers.push(() => transport.close());
  return transport;
};

const probe = async (transport: HttpPeerTransport, at: string): Promise<boolean> =>
  (await transport.getPeer(at).membership.probe({ address: 'known' })).isAlive;

const expectUnreachable = async (call: Promise<unknown>): Promise<void> => {
  const error = await call.then(
    () => assert.unreachable('the call went through'),
    (reason: unknown) => reason,
  );
  assert.instance(error, PeerUnreachableError);
};

const post = async (at: string, path: string, secret: string, body: string): Promise<number> => {
  const headers = { 'content-type': 'application/json', [PEER_SECRET_HEADER]: secret };
  const answer = await request(`http://${at}${path}`, { method: 'POST', headers, body });
  await answer.body.dump();
  return answer.statusCode;
};

const test = suite('httpPeerServer');

test.after.each(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

test('carries a call and its answer', async () => {
  const at = await listen(createPeerRequestHandler(handlers, ['s1']));
  assert.is(await probe(openTransport('s1'), at), true);
});

test('turns a handler that throws into an unreachable peer', async () => {
  const at = await listen(createPeerRequestHandler(handlers, ['s1']));
  await expectUnreachable(
    openTransport('s1')
      .getPeer(at)
      .membership.exchange({} as never),
  );
});

test('lets in the previous secret while the secret is being replaced, and no other', async () => {
  const before = await listen(createPeerRequestHandler(handlers, ['s1']));
  const during = await listen(createPeerRequestHandler(handlers, ['s2', 's1']));
  const after = await listen(createPeerRequestHandler(handlers, ['s2']));
  const [old, current] = [openTransport('s1'), openTransport('s2')];
  assert.is(await probe(old, before), true);
  await expectUnreachable(probe(current, before));
  assert.is(await probe(old, during), true);
  assert.is(await probe(current, during), true);
  await expectUnreachable(probe(old, after));
  assert.is(await probe(current, after), true);
});

test('refuses wrong, absent and empty secrets, other paths and large bodies', async () => {
  const at = await listen(createPeerRequestHandler(handlers, ['s1', '']));
  const path = `${PEER_PATH}/membership.probe`;
  const body = JSON.stringify({ address: 'known' });
  assert.is(await post(at, path, 's1', body), 200);
  assert.is(await post(at, path, 's', body), 401);
  assert.is(await post(at, path, '', body), 401);
  assert.is((await request(`http://${at}${path}`, { method: 'POST', body })).statusCode, 401);
  assert.is(await post(at, '/elsewhere', 's1', body), 404);
  const large = JSON.stringify({ address: 'x'.repeat(PEER_MAX_BODY_BYTES) });
  assert.is(await post(at, path, 's1', large), 413);
});

/** Forwards connections; those that are open when it is told so go silent and stay open. */
const openForwarder = async (to: string): Promise<{ at: string; silence(): void }> => {
  const [host, port] = to.split(':');
  const pairs: Socket[][] = [];
  const server = createTcpServer((near) => {
    const far = connect(Number(port), host);
    near.pipe(far).pipe(near);
    [near, far].forEach((socket) => socket.on('error', () => undefined));
    pairs.push([near, far]);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(async () => {
    pairs.flat().forEach((socket) => socket.destroy());
    server.close();
  });
  const silence = (): void =>
    pairs.flat().forEach((socket) => {
      socket.unpipe();
      socket.resume();
    });
  return { at: getAddress(server), silence };
};

test('leaves a connection that went silent for a new one', async () => {
  // Symptom: every call to a healthy peer times out, for good.
  // Sequence: calls open all connections of the pool; something between the ends forgets these; the next
  // call is sent into one.
  // Cause: the pool keeps connections that look open and hands them to each next call.
  const forwarder = await openForwarder(await listen(createPeerRequestHandler(handlers, ['s1'])));
  const transport = openTransport('s1', 300);
  const calls = Array.from({ length: PEER_CONNECTIONS }, () => probe(transport, forwarder.at));
  assert.equal([...new Set(await Promise.all(calls))], [true]);
  forwarder.silence();
  await expectUnreachable(probe(transport, forwarder.at));
  assert.is(await probe(transport, forwarder.at), true);
});

test.run();

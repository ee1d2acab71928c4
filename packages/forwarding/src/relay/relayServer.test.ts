/** Which connections a daemon relays for others, and how they end. */
import { once } from 'node:events';
import { request as sendRequest } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { createSilentLogger } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectConnector } from '../exchange/index.js';
import { askRelay } from './askRelay.js';
import { MAX_RELAYED_PER_PEER } from './constants.js';
import { RelayServer, type RelayedUpstream } from './relayServer.js';
import type { RelayResult } from './types.js';

const RELAY_HOST = '127.0.0.40';
const PEER_HOST = '127.0.0.41';
const STRANGER_HOST = '127.0.0.42';
const LIFE = 'u-1@7';

/** Divides the limit of one daemon. */
const ASKED_AT_ONCE = 16;

interface Context {
  upstream: Server;
  sockets: Socket[];
  relay: RelayServer;
  relayPort: number;
  relayed: RelayedUpstream | undefined;
}

const test = suite<Context>('relay server', {} as Context);

const listen = async (server: Server, host: string): Promise<number> => {
  server.listen(0, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
};

const findFreePort = async (): Promise<number> => {
  const server = createServer();
  const port = await listen(server, RELAY_HOST);
  server.close();
  return port;
};

test.before.each(async (context) => {
  const sockets: Socket[] = [];
  const upstream = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {});
    sockets.push(socket);
  });
  const port = await listen(upstream, '127.0.0.1');
  const relayed = {
    direct: new DirectConnector({ host: '127.0.0.1', port }),
    isBlocked: false,
    reachesOthers: () => Promise.resolve(true),
  };
  const relay = new RelayServer({
    logger: createSilentLogger(),
    isPeer: (host) => host === PEER_HOST,
    findUpstream: (lifeId) => (lifeId === LIFE ? context.relayed : undefined),
    onOutcome: () => {},
  });
  const relayPort = await findFreePort();
  await relay.listen({ host: RELAY_HOST, port: relayPort });
  Object.assign(context, { upstream, sockets, relay, relayPort, relayed });
});

test.after.each(({ upstream, sockets, relay }) => {
  sockets.forEach((socket) => socket.destroy());
  upstream.close();
  relay.destroy();
});

const ask = (
  { relayPort: port }: Context,
  lifeId = LIFE,
  localAddress = PEER_HOST,
): Promise<RelayResult> =>
  new Promise((resolve) => {
    const peer = { vm: 'vm-1', dataCentre: 'a', host: RELAY_HOST, port };
    askRelay({ peer, localAddress, lifeId }, resolve);
  });

const connectThrough = async (context: Context) => {
  const { stream } = await ask(context);
  assert.ok(stream);
  const [socket] = context.sockets.slice(-1);
  assert.ok(socket);
  return { stream, socket };
};

const readStatus = ({ relayPort: port }: Context, method: string, path: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const options = { host: RELAY_HOST, port, localAddress: PEER_HOST, method, path, agent: false };
    const request = sendRequest(options, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.on('error', reject);
    request.end();
  });

test('passes bytes in both directions and ends where the upstream ends', async (context) => {
  const { stream, socket } = await connectThrough(context);
  stream.write('question');
  const [question] = (await once(socket, 'data')) as [Buffer];
  assert.is(String(question), 'question');
  socket.end('answer');
  const chunks: Buffer[] = [];
  stream.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(stream, 'end');
  assert.is(String(Buffer.concat(chunks)), 'answer');
});

// Guards against a response that ends with its connection and looks complete though it was cut.
test('reports a reset of the upstream and the loss of the relay as failures', async (context) => {
  const ends: Record<string, (socket: Socket) => void> = {
    reset: (socket) => socket.resetAndDestroy(),
    lost: () => context.relay.destroy(),
  };
  for (const [name, end] of Object.entries(ends)) {
    const { stream, socket } = await connectThrough(context);
    socket.write('part of the answer');
    await once(stream, 'data');
    const failed = once(stream, 'error').then(() => 'failed');
    const ended = once(stream, 'end').then(() => 'ended');
    ended.catch(() => {});
    end(socket);
    stream.resume();
    assert.is(await Promise.race([failed, ended]), 'failed', name);
  }
});

test('closes the connection to the upstream when the caller of the relay gives up', async (context) => {
  const { stream, socket } = await connectThrough(context);
  const closed = once(socket, 'end');
  socket.resume();
  stream.destroy();
  await closed;
});

test('serves listed daemons alone', async (context) => {
  assert.is((await ask(context, LIFE, STRANGER_HOST)).outcome, 'unavailable');
  const socket = connect({
    host: RELAY_HOST,
    port: context.relayPort,
    localAddress: STRANGER_HOST,
  });
  socket.on('error', () => {});
  await once(socket, 'close');
  assert.is(context.sockets.length, 0);
});

test('connects to listed upstreams alone, and answers no other request', async (context) => {
  assert.is((await ask(context, 'u-2@7')).outcome, 'unavailable');
  assert.is(await readStatus(context, 'GET', '/connections/u-1%407'), 404);
  assert.is(await readStatus(context, 'POST', '/connections/%E0%A4'), 404);
  assert.is(await readStatus(context, 'POST', '/'), 404);
  context.relayed = undefined;
  assert.is((await ask(context)).outcome, 'unavailable');
  assert.is(context.sockets.length, 0);
});

test('tells a refusing upstream from its own lost path', async (context) => {
  const { upstream, relayed } = context;
  assert.ok(relayed);
  upstream.close();
  assert.is((await ask(context)).outcome, 'refused');
  context.relayed = { ...relayed, reachesOthers: () => Promise.resolve(false) };
  assert.is((await ask(context)).outcome, 'unavailable');
  context.relayed = { ...relayed, isBlocked: true };
  assert.is((await ask(context)).outcome, 'unavailable');
});

test('bounds the connections of one daemon', async (context) => {
  const results: RelayResult[] = [];
  const askOnce = async (): Promise<void> => {
    const result = await ask(context);
    // Otherwise a failed assertion would end the process when the relay is closed.
    result.stream?.on('error', () => {});
    results.push(result);
  };
  // One group after the other, as the asking side gives up after RELAY_ANSWER_TIMEOUT_MS.
  for (let group = 0; group < MAX_RELAYED_PER_PEER / ASKED_AT_ONCE; group += 1) {
    await Promise.all(Array.from({ length: ASKED_AT_ONCE }, askOnce));
  }
  assert.equal(new Set(results.map(({ outcome }) => outcome)), new Set(['connected']));
  await Promise.all(Array.from({ length: 3 }, askOnce));
  assert.is(results.filter(({ outcome }) => outcome === 'unavailable').length, 3);
  results.forEach(({ stream }) => stream?.destroy());
});

// Guards against cutting relayed requests off when the relaying daemon is restarted.
test('relays nothing new while leaving, and finishes what it relays', async (context) => {
  const { stream, socket } = await connectThrough(context);
  context.relay.leave();
  assert.is((await ask(context)).outcome, 'unavailable');
  assert.is(context.relay.inFlight, 1);
  const closed = once(stream, 'close');
  socket.end('whole');
  const [answer] = (await once(stream, 'data')) as [Buffer];
  assert.is(String(answer), 'whole');
  await closed;
  while (context.relay.inFlight > 0) {
    await new Promise(setImmediate);
  }
});

test.run();

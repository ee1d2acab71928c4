import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { startSilentForwarder, type SilentForwarder } from './silentForwarder.js';

const SETTLE_MS = 50;

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });

interface Echo {
  readonly forwarder: SilentForwarder;
  connect(): Promise<Socket>;
}

/** A forwarder before a server that sends back what it gets. */
const withEcho = async (body: (echo: Echo) => Promise<void>): Promise<void> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { address, port } = server.address() as AddressInfo;
  const forwarder = await startSilentForwarder({ targetAddress: address, targetPort: port });
  const open = async (): Promise<Socket> => {
    const socket = connect({ host: forwarder.address, port: forwarder.port });
    socket.on('error', () => {});
    sockets.add(socket);
    await once(socket, 'connect');
    return socket;
  };
  try {
    await body({ forwarder, connect: open });
  } finally {
    sockets.forEach((socket) => socket.destroy());
    await forwarder.stop();
    server.close();
  }
};

const askEcho = async (socket: Socket, text: string): Promise<string> => {
  socket.write(text);
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  return chunk.toString();
};

const watch = (socket: Socket): { bytes: number; isClosed: boolean } => {
  const seen = { bytes: 0, isClosed: false };
  socket.on('data', (chunk: Buffer) => {
    seen.bytes += chunk.length;
  });
  socket.on('close', () => {
    seen.isClosed = true;
  });
  return seen;
};

test('passes bytes and closes on', () =>
  withEcho(async ({ forwarder, connect: open }) => {
    const socket = await open();
    assert.is(await askEcho(socket, 'hello'), 'hello');
    socket.end();
    await once(socket, 'close');
    await settle();
    assert.is(forwarder.connectionCount, 0);
  }));

test('old connections go silent for good while new ones work', () =>
  withEcho(async ({ forwarder, connect: open }) => {
    const old = await open();
    await askEcho(old, 'hello');
    forwarder.silenceConnections();
    const seen = watch(old);
    old.write('lost');
    const fresh = await open();
    assert.is(await askEcho(fresh, 'new'), 'new');
    await settle();
    assert.equal(seen, { bytes: 0, isClosed: false });
  }));

test('a cut path is silent or broken until healed', () =>
  withEcho(async ({ forwarder, connect: open }) => {
    forwarder.cut('silent');
    const swallowed = await open();
    const seen = watch(swallowed);
    swallowed.write('lost');
    await settle();
    assert.equal(seen, { bytes: 0, isClosed: false });
    forwarder.cut('broken');
    const broken = await open();
    if (!broken.closed) {
      await once(broken.resume(), 'close');
    }
    forwarder.heal();
    assert.is(await askEcho(await open(), 'healed'), 'healed');
  }));

test.run();

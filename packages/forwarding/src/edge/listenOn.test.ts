import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { adoptListener } from './listenOn.js';

const HOST = '127.0.0.1';

// Guards against callers that connected before the daemon was loaded and are not told that it leaves.
test('idle connections accepted before the adoption are closed with the others', async () => {
  const sockets: Socket[] = [];
  const early = createServer({ pauseOnConnect: true }, (socket) => sockets.push(socket));
  early.listen(0, HOST);
  await once(early, 'listening');
  const { port } = early.address() as AddressInfo;
  const caller = connect(port, HOST);
  await once(early, 'connection');
  const server = createHttpServer((_, response) => response.end());
  try {
    await adoptListener(server, { host: HOST, port, server: early, sockets });
    caller.write('GET / HTTP/1.1\r\nHost: api.example\r\n\r\n');
    await once(caller, 'data');
    const ended = once(caller, 'end').then(() => 'ended');
    server.closeIdleConnections();
    caller.write('GET / HTTP/1.1\r\nHost: api.example\r\n\r\n');
    assert.is(await Promise.race([ended, once(caller, 'data').then(() => 'answered')]), 'ended');
  } finally {
    caller.destroy();
    server.close();
  }
});

test.run();

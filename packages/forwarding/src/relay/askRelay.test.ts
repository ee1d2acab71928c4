/** Questions to other daemons that are answered in part. */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { askRelay } from './askRelay.js';
import type { RelayResult } from './types.js';

const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

// Guards against a relayed connection that seems open though its daemon ended in its answer's head.
test('a head that the other daemon breaks off opens no connection', async () => {
  let cutAt = 0;
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(HEAD.slice(0, cutAt)));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const peer = { vm: 'vm-2', dataCentre: 'a', host: '127.0.0.1', port };
  const question = { peer, localAddress: '127.0.0.1', lifeId: 'u-1' };
  for (; cutAt < HEAD.length; cutAt += 1) {
    const { outcome } = await new Promise<RelayResult>((resolve) => {
      askRelay(question, resolve);
    });
    assert.is(outcome, 'unavailable', `broken off after ${cutAt} bytes`);
  }
  server.close();
});

test.run();

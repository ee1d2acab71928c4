import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createSilentLogger } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createUdpPort } from './datagramPort.js';

const HOST = '127.0.0.1';
const MAX_WAIT_MS = 1_000;

// Guards against a daemon that waits for its port forever and holds the requests of its callers.
test('opening an address in use fails', async () => {
  const other = createSocket('udp4');
  other.bind(0, HOST);
  await once(other, 'listening');
  const port = createUdpPort({ host: HOST, port: other.address().port }, createSilentLogger());
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<string>((resolve) => {
    timer = setTimeout(() => resolve('pending'), MAX_WAIT_MS);
  });
  const opening = port
    .open(() => {})
    .then(
      () => 'opened',
      () => 'failed',
    );
  try {
    assert.is(await Promise.race([opening, timeout]), 'failed');
  } finally {
    clearTimeout(timer);
    port.close();
    other.close();
  }
});

test.run();

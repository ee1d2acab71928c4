import { createServer, get } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HttpCallerPort } from './httpCallerPort.js';

const ROUNDS = 20;
const PIECE = Buffer.alloc(65_536, 'x');
const ABORT_AFTER_MS = 20;

/** Resolves to whether the client takes an answer for complete that is aborted while it is read. */
const isAbortedAnswerComplete = async (): Promise<boolean> => {
  const server = createServer((request, response) => {
    const port = new HttpCallerPort(request, response, () => false);
    port.begin(200, {}, 'untilClose');
    let isOver = false;
    const send = (): void => {
      if (!isOver && port.write(PIECE)) {
        setImmediate(send);
      }
    };
    port.onDrain(send);
    send();
    setTimeout(() => {
      isOver = true;
      port.abort();
    }, ABORT_AFTER_MS);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const isComplete = await new Promise<boolean>((resolve) => {
    get({ port, host: '127.0.0.1', agent: false }, (response) => {
      response.resume();
      response.on('error', () => resolve(false));
      response.on('close', () => resolve(response.complete));
    });
  });
  server.closeAllConnections();
  server.close();
  return isComplete;
};

test('an answer without a length that is cut off does not look complete', async () => {
  for (let round = 0; round < ROUNDS; round += 1) {
    assert.not(await isAbortedAnswerComplete(), `round ${round}`);
  }
});

test.run();

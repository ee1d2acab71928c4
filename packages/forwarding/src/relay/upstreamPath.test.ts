/** What a daemon learns of an upstream to which it has lost its direct path. */
import { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  ConnectTimedOutError,
  DirectConnector,
  type OpenSocket,
  type ProbeOutcome,
} from '../exchange/index.js';
import type { RelayClient } from './relayClient.js';
import { UpstreamPath } from './upstreamPath.js';

const openSilently: OpenSocket = (_host, _port, _timeoutMs, callback) => {
  setImmediate(() => callback(new ConnectTimedOutError('no connection'), null));
  return new Socket();
};

// Guards against answers taken for cut as nothing answers on the direct path, though others reach it.
for (const outcome of ['listening', 'refused', 'silent'] satisfies readonly ProbeOutcome[]) {
  test(`behind a lost path, others say that the upstream is ${outcome}`, async () => {
    const relays = { hasPeers: true, probe: () => Promise.resolve(outcome) };
    const path = new UpstreamPath({
      target: { lifeId: 'u-1', service: 'plain', dataCentre: 'a' },
      direct: new DirectConnector({ host: '127.0.0.1', port: 9, open: openSilently }),
      relays: relays as unknown as RelayClient,
      supervisor: {
        onDetour: () => {},
        onSilence: () => {},
        reachesOthers: () => Promise.resolve(false),
        onClosed: () => {},
      },
    });
    await path.block();
    assert.is(await path.probe(), outcome);
  });
}

test.run();

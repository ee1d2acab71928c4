/** Which tables of other daemons are taken. */
import { createRandom, createSilentLogger } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreEra } from '../store/storeEra.js';
import type { TableSnapshot } from '../store/types.js';
import { PeerDirectory } from './peerDirectory.js';
import { PeerMessenger } from './peerMessenger.js';
import { ReaderRegistry } from './readerRegistry.js';
import { TableExchange } from './tableExchange.js';

const SELF = { vm: 'vm-0', dataCentre: 'a', host: '10.0.0.1', port: 7_000 };
const DATAGRAM = { value: undefined, bytes: Buffer.alloc(0), host: '10.0.0.2' };

const PLAIN: TableSnapshot = {
  table: 'operator',
  era: 2,
  version: 9,
  lastChange: 9,
  serverTimeMs: 1,
  rows: [],
};
const RETAINED: TableSnapshot = {
  ...PLAIN,
  retained: [{ key: 'k', value: '1', era: 1, version: 8, isRemoved: false, leftMs: 900 }],
};

const createExchange = (storeEra: StoreEra): TableExchange => {
  const random = createRandom(1);
  const port = { open: () => Promise.resolve(), send: () => {}, close: () => {} };
  return new TableExchange({
    directory: new PeerDirectory(SELF, random),
    readerRegistry: new ReaderRegistry('vm-0', 'a', storeEra),
    storeEra,
    messenger: new PeerMessenger(SELF, 1, port, { countDatagram: () => {} }, storeEra),
    random,
    logger: createSilentLogger(),
    listSnapshots: () => [],
    waitForSnapshot: () => Promise.resolve(undefined),
    sendReports: () => {},
  });
};

// Guards against retained rows that are lost because a daemon without them answered first.
test('a table with retained rows is taken beside those of the same and later revisions', () => {
  for (const plain of [PLAIN, { ...PLAIN, version: 12 }]) {
    const exchange = createExchange(new StoreEra());
    exchange.receiveTable(plain, DATAGRAM);
    exchange.receiveTable(RETAINED, DATAGRAM);
    assert.is(exchange.findRetaining('operator'), RETAINED);
    exchange.receiveTable(plain, DATAGRAM);
    assert.is(exchange.findRetaining('operator'), RETAINED);
    assert.is(exchange.findReceived('operator'), plain);
  }
});

test('a table of an earlier era is not taken, and a later one raises the era', () => {
  const storeEra = new StoreEra();
  const exchange = createExchange(storeEra);
  exchange.receiveTable(PLAIN, DATAGRAM);
  exchange.receiveTable({ ...PLAIN, era: 1, version: 90 }, DATAGRAM);
  assert.is(exchange.findReceived('operator'), PLAIN);
  assert.is(storeEra.newest, 2);
});

test.run();

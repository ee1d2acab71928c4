/** When the readers of a table count as silent. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { LoadMessage, ReaderReport } from './loadMessage.js';
import { ReaderRegistry } from './readerRegistry.js';

const TABLE = 'upstreams';
const SMALL_FLEET = 9;
const LARGE_FLEET = 18;

const createReport = (vm: string, dataCentre: string): ReaderReport => ({
  vm,
  dataCentre,
  table: TABLE,
  era: 1,
  lastChange: 5,
  serverTimeMs: 100,
});

const createOwnMessage = (vm: string, news: LoadMessage['news']): LoadMessage => ({
  vm,
  dataCentre: 'a',
  process: 1,
  sequence: 1,
  loads: new Map(),
  news,
  scope: 'own',
  readers: [],
  members: 0,
  learned: { paces: [], demands: [], rollouts: [] },
});

const LOCAL = createReport('vm-1', 'a');
const REMOTE = createReport('vm-2', 'b');

test('readers are silent once none has reported for 650 ms', () => {
  const registry = new ReaderRegistry('vm-0', 'c');
  assert.not(registry.areReadersSilent(TABLE, LARGE_FLEET, 10_000));
  registry.receiveReaders([LOCAL, REMOTE], 0);
  registry.receiveReaders([LOCAL, REMOTE], 300);
  assert.not(registry.areReadersSilent(TABLE, LARGE_FLEET, 949));
  assert.ok(registry.areReadersSilent(TABLE, LARGE_FLEET, 950));
  registry.receiveReaders([LOCAL, REMOTE], 1_000);
  assert.not(registry.areReadersSilent(TABLE, LARGE_FLEET, 1_001));
});

// Guards against aggregators that keep trusting readers which they relay to each other.
test('an aggregator notices the silence of its own reader while another data centre lists one', () => {
  const registry = new ReaderRegistry('vm-0', 'a');
  registry.receiveReports(createOwnMessage('vm-1', [LOCAL]), 0);
  registry.receiveReaders([REMOTE], 600, 'b');
  assert.ok(registry.areReadersSilent(TABLE, LARGE_FLEET, 650));
  registry.receiveReaders([REMOTE], 1_400, 'b');
  assert.not(
    registry.areReadersSilent(TABLE, LARGE_FLEET, 1_500),
    'the one that ended counts no more',
  );
});

// Guards against calls to the store on calm days of small fleets, whose readers report less often.
test('in a small fleet, readers are silent only if all are', () => {
  const registry = new ReaderRegistry('vm-0', 'a');
  registry.receiveReports(createOwnMessage('vm-1', [LOCAL]), 0);
  registry.receiveReaders([REMOTE], 600, 'b');
  assert.not(registry.areReadersSilent(TABLE, SMALL_FLEET, 1_249));
  assert.ok(registry.areReadersSilent(TABLE, SMALL_FLEET, 1_250));
});

// Guards against all daemons asking a store that is down.
test('readers that withdraw their reports are not silent', () => {
  const registry = new ReaderRegistry('vm-0', 'a');
  registry.receiveReports(createOwnMessage('vm-1', [LOCAL]), 0);
  registry.receiveReports(createOwnMessage('vm-1', []), 300);
  assert.not(registry.areReadersSilent(TABLE, LARGE_FLEET, 5_000));
});

// Guards against an aggregator that has just started and lists no readers, as it knows none.
test('readers that were silent when they left the lists stay silent until one reports', () => {
  const registry = new ReaderRegistry('vm-0', 'a');
  registry.receiveReaders([LOCAL, REMOTE], 0);
  registry.receiveReaders([], 500);
  assert.ok(registry.areReadersSilent(TABLE, LARGE_FLEET, 501));
  registry.receiveReaders([REMOTE], 700);
  assert.not(registry.areReadersSilent(TABLE, LARGE_FLEET, 701));
});

test.run();

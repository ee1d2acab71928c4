import { sleep } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { RetainedRow, RetentionPolicy } from './rowRetention.js';
import { TableReplica } from './tableReplica.js';
import type { TableSnapshot } from './types.js';

const createSnapshot = (version: number, lastChange: number, era = 1): TableSnapshot => ({
  table: 'operator',
  era,
  version,
  lastChange,
  serverTimeMs: version,
  rows: [],
});

test('a table with changes that are missing is taken', () => {
  const replica = new TableReplica('operator');
  replica.replace(createSnapshot(102, 102));
  assert.ok(replica.lacks(createSnapshot(105, 103)));
  assert.not(replica.lacks(createSnapshot(105, 102)));
});

// Guards against stepping back to a table read just before the change that reports already name.
test('an older table is not taken although its sender knows of a later change', () => {
  const replica = new TableReplica('operator');
  replica.replace(createSnapshot(102, 102));
  assert.not(replica.lacks(createSnapshot(100, 105)));
});

test('a table of a later era is taken whatever its version, and none of an earlier one', () => {
  const replica = new TableReplica('operator');
  replica.replace(createSnapshot(102, 102));
  assert.ok(replica.lacks(createSnapshot(40, 38, 2)));
  replica.replace(createSnapshot(40, 38, 2));
  assert.not(replica.lacks(createSnapshot(102, 102)));
  replica.invalidate();
  assert.not(replica.lacks(createSnapshot(102, 102)));
  assert.not(replica.lacks(createSnapshot(40, 38, 2)));
});

const POLICY: RetentionPolicy = { isOlder: () => false, getRetentionMs: () => 20 };
const LOST = { key: 'lost', value: '1', era: 1, version: 60, isRemoved: false, leftMs: 20 };

const createRetaining = (retained: readonly RetainedRow[]): TableSnapshot => ({
  ...createSnapshot(40, 38, 2),
  retained,
});

const getKeys = ({ effectiveRows }: TableReplica): readonly string[] =>
  effectiveRows.map(({ key }) => key);

// Guards against rows that were given up and come back with the next whole read of the table.
test('what another daemon retains is learned once', async () => {
  const replica = new TableReplica('operator', POLICY);
  const snapshot = createRetaining([LOST]);
  replica.replace(snapshot);
  replica.learn(snapshot);
  assert.equal(getKeys(replica), ['lost']);
  await sleep(30);
  replica.release();
  replica.replace(createSnapshot(40, 38, 2));
  assert.equal(replica.learn(snapshot), []);
  assert.equal(getKeys(replica), []);
});

// Guards against a daemon that read the store itself and cannot place what others retain.
test('retained rows are learned unless the store has changed them since', () => {
  const replica = new TableReplica('operator', POLICY);
  const rows = [{ key: 'changed', value: '2', era: 2, version: 45 }];
  replica.replace({ ...createSnapshot(50, 50, 2), rows });
  replica.learn(createRetaining([LOST, { ...LOST, key: 'changed' }]));
  assert.equal(getKeys(replica), ['changed', 'lost']);
  assert.is(replica.effectiveRows[0]?.value, '2');
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
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

test.run();

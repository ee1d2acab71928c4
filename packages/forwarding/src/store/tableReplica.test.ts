import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TableReplica } from './tableReplica.js';
import type { TableSnapshot } from './types.js';

const createSnapshot = (version: number, lastChange: number): TableSnapshot => ({
  table: 'operator',
  era: 1,
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

test.run();

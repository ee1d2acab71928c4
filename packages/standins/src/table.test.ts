import * as assert from 'uvu/assert';
import { test } from 'uvu';
import { RateLimitedError } from './errors.js';
import { TableCore, type TableTransaction } from './table.js';
import { withClock } from './testClock.js';

const write = (key: string, value: unknown, version?: number): TableTransaction => ({
  conditions: version === undefined ? [] : [{ key, version }],
  writes: [{ key, value }],
});

test('transactions of a call are applied in order, each on its own', async () => {
  const table = new TableCore();
  const results = await table.transact([write('a', 1, 0), write('a', 2, 0), write('a', 3, 1)]);
  assert.equal(results, [
    { kind: 'committed', versions: [{ key: 'a', version: 1 }] },
    { kind: 'conflict', rows: [{ key: 'a', value: 1, version: 1 }] },
    { kind: 'committed', versions: [{ key: 'a', version: 2 }] },
  ]);
  assert.equal(await table.read(['a', 'b']), [{ key: 'a', value: 3, version: 2 }]);
});

test('a conflict writes nothing and shows the present rows of all conditions', async () => {
  const table = new TableCore();
  await table.transact([write('a', 1), write('b', 1)]);
  const conditions = [
    { key: 'a', version: 1 },
    { key: 'b', version: 7 },
    { key: 'c', version: 0 },
  ];
  const [result] = await table.transact([{ conditions, writes: [{ key: 'a', value: 9 }] }]);
  assert.equal(result, {
    kind: 'conflict',
    rows: [
      { key: 'a', value: 1, version: 1 },
      { key: 'b', value: 1, version: 1 },
    ],
  });
  assert.is(table.peek('a')[0]?.value, 1);
});

test('a row made anew never repeats a version', async () => {
  // Symptom: a writer that held version 1 of a deleted row overwrites its successor.
  // Sequence: create (1), delete, create again, write on condition of version 1.
  // Cause: versions that start over at 1.
  const table = new TableCore();
  const [, removed] = await table.transact([write('a', 1), write('a', null, 1)]);
  assert.equal(removed, { kind: 'committed', versions: [{ key: 'a', version: 0 }] });
  const results = await table.transact([write('a', 2, 0), write('a', 3, 1)]);
  assert.equal(results.at(-1), { kind: 'conflict', rows: [{ key: 'a', value: 2, version: 2 }] });
});

test('scans page through a prefix in key order', async () => {
  const table = new TableCore();
  await table.transact(['p/c', 'q/a', 'p/a', 'o/z', 'p/b', 'p/d'].map((key) => write(key, 1)));
  await table.transact([write('p/d', null)]);
  const first = await table.scan({ prefix: 'p/', limit: 2 });
  assert.equal(
    first.map(({ key }) => key),
    ['p/a', 'p/b'],
  );
  const next = await table.scan({ prefix: 'p/', afterKey: 'p/b', limit: 2 });
  assert.equal(
    next.map(({ key }) => key),
    ['p/c'],
  );
});

test('values are not shared with callers', async () => {
  const table = new TableCore();
  const value = { list: [1] };
  await table.transact([write('a', value)]);
  value.list.push(2);
  const [row] = await table.read(['a']);
  assert.equal(row?.value, { list: [1] });
});

test('calls over the rate limits do nothing and tell when to come back', () =>
  withClock(async (clock) => {
    const table = new TableCore({ writesPerSecond: 2, readsPerSecond: 3 });
    await table.transact([write('a', 1), write('b', 1)]);
    const error = await table.transact([write('c', 1)]).catch((thrown: unknown) => thrown);
    assert.instance(error, RateLimitedError);
    assert.is((error as RateLimitedError).retryAfterMs, 500);
    assert.is(table.peek('c').length, 0);
    await clock.tickAsync(500);
    await table.transact([write('c', 1)]);
    await table.read(['a', 'b', 'c']);
    const readError = await table.scan({ prefix: '', limit: 1 }).catch((thrown: unknown) => thrown);
    assert.instance(readError, RateLimitedError);
    assert.is(table.getTruth().rateLimitedCalls, 2);
    assert.equal(table.getTruth().writesByPrefix, { a: 1, b: 1, c: 1 });
  }));

test('a call larger than the burst passes when idle and is paid for after', () =>
  withClock(async (clock) => {
    const table = new TableCore({ writesPerSecond: 2 });
    await table.transact(['a', 'b', 'c', 'd'].map((key) => write(key, 1)));
    await clock.tickAsync(1000);
    assert.instance(
      await table.transact([write('e', 1)]).catch((e: unknown) => e),
      RateLimitedError,
    );
    await clock.tickAsync(500);
    assert.is((await table.transact([write('e', 1)])).length, 1);
  }));

test.run();

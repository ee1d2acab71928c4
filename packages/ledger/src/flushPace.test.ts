import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Member } from '@snipehaven/protocol';
import { DEFAULT_LEDGER_SETTINGS, ROWS_PER_BATCH } from './constants.js';
import { FlushPace } from './flushPace.js';

const createPace = (daemons: number): FlushPace =>
  new FlushPace(
    { listAlive: () => Array.from({ length: daemons }, () => ({}) as Member) },
    DEFAULT_LEDGER_SETTINGS,
  );

test('few daemons flush often, many share the rate of writes', () => {
  assert.is(createPace(1).getDelayMs(false), 500);
  assert.is(createPace(9).getDelayMs(false), 500);
  [30, 400, 1_000].forEach((daemons) => {
    const delayMs = createPace(daemons).getDelayMs(false);
    const writesPerSecond = (daemons * ROWS_PER_BATCH * 1_000) / delayMs;
    assert.ok(writesPerSecond <= 60 && writesPerSecond > 59, `${daemons}: ${writesPerSecond}`);
  });
});

// Symptom: a table that comes back from an outage is met by the tries of all daemons at once.
// Sequence: the table is away for minutes; each daemon tries on twice a second.
// Cause: a short interval that serves a well table also serves a failing one.
test('failed flushes are further and further apart, up to a bound', () => {
  const pace = createPace(9);
  const delays = [1, 2, 3, 4, 5, 6].map(() => {
    pace.noteResult('failed');
    return pace.getDelayMs(false);
  });
  assert.equal(delays, [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
  pace.noteResult('flushed');
  assert.is(pace.getDelayMs(false), 500);
});

test.run();

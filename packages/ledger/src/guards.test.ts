import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DeathConfirmer } from './deathConfirmer.js';
import { HeldRecords } from './heldRecords.js';
import { createUsage } from './testKit.js';

const EMPTY = { owner: 'a', peer: 'b', ledger: 'a', isFull: false, settled: [] };

// Symptom: an adopter asks engines for a record that its owner had flushed long ago.
// Sequence: a message that opens it times out, is sent again, forgotten; then the first one arrives.
// Cause: late messages look like new ones; only the rising number tells.
test('a message that arrives after later ones changes nothing', () => {
  const held = new HeldRecords();
  const opened = [createUsage('r1')];
  assert.is(held.apply({ ...EMPTY, seq: 2, opened, forgotten: [] }), 1);
  assert.is(held.apply({ ...EMPTY, seq: 3, opened: [], forgotten: ['r1'] }), 0);
  assert.is(held.apply({ ...EMPTY, seq: 1, opened, forgotten: [] }), 0);
});

// Symptom: one long pause of a daemon cuts the answers of others.
// Sequence: it wakes with a stale view in which they are dead, and adopts at once.
// Cause: the time of its pause must not count as time for which they were dead.
test('an owner is dead only after a wait without a pause', () => {
  const clock = install({ now: 1_000_000 });
  try {
    const deaths = new DeathConfirmer({ checkIntervalMs: 1_000, adoptAfterMs: 3_000 });
    const check = (isAlive: boolean): number => deaths.check(['a'], () => isAlive).length;
    assert.is(check(true), 0);
    assert.is(check(false), 0);
    clock.tick(60_000);
    assert.is(check(false), 0);
    [1, 2, 3].forEach((second) => {
      clock.tick(1_000);
      assert.is(check(false), second === 3 ? 1 : 0);
    });
  } finally {
    clock.uninstall();
  }
});

test.run();

/** What a daemon knows and tells of the beginning of an era. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreEra } from './storeEra.js';

const test = suite<{ clock: Clock }>('era of the store', {} as { clock: Clock });

test.before.each((context) => {
  context.clock = FakeTimers.install();
});

test.after.each(({ clock }) => clock.uninstall());

test('the age of an era is told on, and an earlier beginning goes before a later one', ({
  clock,
}) => {
  const era = new StoreEra();
  era.observe(1, 'store');
  assert.is(era.toldAge, undefined);
  assert.is(era.ageMs, Infinity);
  era.observe(2, 'store');
  clock.tick(100);
  assert.equal(era.toldAge, { era: 2, ageMs: 100 });
  assert.is(era.lateMs, 0);
  era.observe(2, 'vm-1', 7_100);
  era.observe(2, 'vm-2', 3_000);
  assert.equal(era.toldAge, { era: 2, ageMs: 7_100 });
  assert.is(era.lateMs, 7_000);
  era.observe(3, 'vm-1', 0);
  assert.is(era.lateMs, 0);
  assert.equal(era.toldAge, { era: 3, ageMs: 0 });
});

test('a daemon that starts in an era is not late, but knows its age from others', () => {
  const era = new StoreEra();
  era.observe(2, 'store');
  era.observe(2, 'vm-1', 4_000);
  assert.is(era.lateMs, 0);
  assert.is(era.ageMs, 4_000);
});

test.run();

/** What a daemon knows and tells of the beginning of an era. */
import FakeTimers from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreEra } from './storeEra.js';

const clock = FakeTimers.install();
test.after(() => clock.uninstall());

test('the age of an era is told on, and an earlier beginning goes before a later one', () => {
  const era = new StoreEra();
  era.observe(1, 'store');
  assert.is(era.getToldAgeMs(1), undefined);
  assert.is(era.ageMs, Infinity);
  era.observe(2, 'store');
  clock.tick(100);
  assert.is(era.getToldAgeMs(2), 100);
  assert.is(era.lateMs, 0);
  era.observe(2, 'vm-1', 7_100);
  era.observe(2, 'vm-2', 3_000);
  assert.is(era.getToldAgeMs(2), 7_100);
  assert.is(era.lateMs, 7_000);
  era.observe(3, 'vm-1', 0);
  assert.is(era.lateMs, 0);
  assert.is(era.getToldAgeMs(2), undefined);
});

test('a daemon that starts in an era is not late, but knows its age from others', () => {
  const era = new StoreEra();
  era.observe(2, 'store');
  era.observe(2, 'vm-1', 4_000);
  assert.is(era.lateMs, 0);
  assert.is(era.ageMs, 4_000);
});

test.run();

/** When a route or key that is missing in the configuration may be refused as unknown. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { AbsenceCheck } from './absenceCheck.js';

const MAX_AGE_MS = 2_000;

interface Context {
  clock: Clock;
  confirmedAtMs: number;
  check: AbsenceCheck;
}

const test = suite<Context>('absence check', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.confirmedAtMs = performance.now();
  const freshness = {
    get ageMs() {
      return performance.now() - context.confirmedAtMs;
    },
  };
  context.check = new AbsenceCheck(freshness, MAX_AGE_MS);
});

test.after.each(({ clock }) => clock.uninstall());

test('a configuration that must be the one in force is conclusive', ({ clock, check }) => {
  clock.tick(MAX_AGE_MS);
  assert.ok(check.isConclusive());
});

test('an older configuration is not, until it is confirmed', (context) => {
  const { clock, check } = context;
  clock.tick(MAX_AGE_MS + 1);
  assert.not(check.isConclusive());
  context.confirmedAtMs = performance.now();
  assert.ok(check.isConclusive());
});

// Guards against callers that repeat a request for ever in a data centre that is cut off.
test('a VM that stays without confirmation refuses for good', ({ clock, check }) => {
  clock.tick(MAX_AGE_MS + 1);
  assert.not(check.isConclusive());
  clock.tick(4_900);
  assert.not(check.isConclusive());
  clock.tick(100);
  assert.ok(check.isConclusive());
});

// Guards against a VM that calls a new route unknown as soon as it wakes from a long pause.
test('a configuration that turned old while nobody asked is not conclusive', ({ clock, check }) => {
  clock.tick(60_000);
  assert.not(check.isConclusive());
});

test('the time without confirmation is counted anew after a confirmation', (context) => {
  const { clock, check } = context;
  clock.tick(MAX_AGE_MS + 1);
  check.isConclusive();
  clock.tick(1_000);
  context.confirmedAtMs = performance.now();
  clock.tick(MAX_AGE_MS + 2_000);
  assert.not(check.isConclusive());
});

test.run();

/** Age of the configuration with held answers, suspended machines and steps of the wall clock. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from './freshness.js';
import { readClocks } from './storeClock.js';

interface Context {
  clock: Clock;
  freshness: Freshness;
}

/** The store's monotonic clock has another origin than ours. */
const STORE_AHEAD_MS = 70_000;
const getStoreTimeMs = (): number => performance.now() + STORE_AHEAD_MS;

const test = suite<Context>('freshness', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.freshness = new Freshness();
});

test.after.each(({ clock }) => clock.uninstall());

const receiveAnswer = ({ clock, freshness }: Context, holdMs: number, returnMs: number): void => {
  const asked = readClocks();
  clock.tick(holdMs);
  const serverTimeMs = getStoreTimeMs();
  clock.tick(returnMs);
  freshness.confirm({ asked, serverTimeMs });
};

test('the age is infinite before the first answer', ({ freshness }) => {
  assert.is(freshness.ageMs, Infinity);
});

// Guards against dating the state by the request. After a feed that was held for its whole wait,
// keyed requests would be refused a second after the store went down.
test('a held answer confirms the state at the time of the answer', (context) => {
  receiveAnswer(context, 2, 2);
  receiveAnswer(context, 2_000, 2);
  assert.ok(context.freshness.ageMs <= 4, String(context.freshness.ageMs));
});

// Guards against dating the state by the arrival of the answer. If the answer is delayed, a revoked
// key would be accepted.
test('the delay of an answer on its way back counts towards the age', (context) => {
  receiveAnswer(context, 2, 2);
  receiveAnswer(context, 2_000, 3_000);
  assert.ok(context.freshness.ageMs >= 3_000);
});

// Guards against a revoked key that is accepted after a suspension. The monotonic clock stands
// still while the machine sleeps, so the offset to the store's clock from before is no longer
// valid.
test('after a suspension the age counts from the request, by the wall clock', (context) => {
  const { clock, freshness } = context;
  receiveAnswer(context, 2, 2);
  const asked = readClocks();
  clock.tick(100);
  clock.setSystemTime(Date.now() + 4_000);
  freshness.confirm({ asked, serverTimeMs: getStoreTimeMs() + 4_000 });
  assert.ok(freshness.ageMs >= 4_100);
  receiveAnswer(context, 2_000, 2);
  assert.ok(freshness.ageMs <= 2_002);
});

test('the age grows when the wall clock steps forward and does not shrink when it steps back', (context) => {
  const { clock, freshness } = context;
  receiveAnswer(context, 2, 2);
  clock.setSystemTime(Date.now() + 2_400);
  assert.ok(freshness.ageMs >= 2_400);
  clock.setSystemTime(Date.now() - 9_000);
  clock.tick(500);
  assert.ok(freshness.ageMs >= 500);
});

// Guards against a follower that refuses keyed requests permanently although the store is
// reachable. A step of its wall clock invalidates its offset to the store's clock, and reports of
// readers do not restore it.
test('after a step of the wall clock, reports of others do not confirm the state', (context) => {
  const { clock, freshness } = context;
  receiveAnswer(context, 2, 2);
  clock.tick(1_000);
  assert.ok(freshness.confirmByPeer(getStoreTimeMs()));
  assert.ok(freshness.ageMs <= 4);
  clock.setSystemTime(Date.now() - 2_400);
  clock.tick(1_000);
  assert.not(freshness.confirmByPeer(getStoreTimeMs()));
  receiveAnswer(context, 2, 2);
  clock.tick(1_000);
  assert.ok(freshness.confirmByPeer(getStoreTimeMs()));
});

test.run();

/** How old a configuration may be taken to be: held answers, suspensions, jumps of the time of day. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from './freshness.js';
import { readClocks } from './storeClock.js';

interface Context {
  clock: Clock;
  freshness: Freshness;
}

/** The store's steady clock starts elsewhere than ours. */
const STORE_AHEAD_MS = 70_000;
const getStoreMs = (): number => performance.now() + STORE_AHEAD_MS;

const test = suite<Context>('freshness', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.freshness = new Freshness();
});

test.after.each(({ clock }) => clock.uninstall());

const ask = ({ clock, freshness }: Context, heldMs: number, backMs: number): void => {
  const asked = readClocks();
  clock.tick(heldMs);
  const serverTimeMs = getStoreMs();
  clock.tick(backMs);
  freshness.confirm({ asked, serverTimeMs });
};

test('nothing is fresh before the first answer', ({ freshness }) => {
  assert.is(freshness.ageMs, Infinity);
});

// Symptom: keyed requests are refused a second after the store went away. Sequence: a feed is held for
// its whole wait and answers; the next one breaks. Cause: the state was dated by the question.
test('a held answer tells the state at the answer', (context) => {
  ask(context, 2, 2);
  ask(context, 2_000, 2);
  assert.ok(context.freshness.ageMs <= 4, String(context.freshness.ageMs));
});

// Symptom: a revoked key is let in. Sequence: an answer is long on its way back. Cause: the state was
// dated by the answer's arrival.
test('the way back of an answer does not make it fresher', (context) => {
  ask(context, 2, 2);
  ask(context, 2_000, 3_000);
  assert.ok(context.freshness.ageMs >= 3_000);
});

// Symptom: a revoked key is let in after a suspension. Sequence: the machine sleeps while a feed is
// held; the steady clock stands still. Cause: the offset to the store's clock is from before.
test('after a suspension only the question’s time counts, by the time of day', (context) => {
  const { clock, freshness } = context;
  ask(context, 2, 2);
  const asked = readClocks();
  clock.tick(100);
  clock.setSystemTime(Date.now() + 4_000);
  freshness.confirm({ asked, serverTimeMs: getStoreMs() + 4_000 });
  assert.ok(freshness.ageMs >= 4_100);
  ask(context, 2_000, 2);
  assert.ok(freshness.ageMs <= 2_002);
});

test('a time of day that jumps forward makes it older, one that jumps back does not make it younger', (context) => {
  const { clock, freshness } = context;
  ask(context, 2, 2);
  clock.setSystemTime(Date.now() + 2_400);
  assert.ok(freshness.ageMs >= 2_400);
  clock.setSystemTime(Date.now() - 9_000);
  clock.tick(500);
  assert.ok(freshness.ageMs >= 500);
});

// Symptom: keyed requests are refused for good though the store is well. Sequence: a daemon lives by
// readers' news; its time of day steps. Cause: its offset to the store's clock is unsure, and it went
// on.
test('after a step of the time of day others’ news say that they confirm nothing', (context) => {
  const { clock, freshness } = context;
  ask(context, 2, 2);
  clock.tick(1_000);
  assert.ok(freshness.confirmByPeer(getStoreMs()));
  assert.ok(freshness.ageMs <= 4);
  clock.setSystemTime(Date.now() - 2_400);
  clock.tick(1_000);
  assert.not(freshness.confirmByPeer(getStoreMs()));
  ask(context, 2, 2);
  clock.tick(1_000);
  assert.ok(freshness.confirmByPeer(getStoreMs()));
});

test.run();

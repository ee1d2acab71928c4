/** The offset to the store's clock when that clock is set. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreClock } from './storeClock.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('store clock', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
});

test.after.each(({ clock }) => clock.uninstall());

const FIRST_MS = 90_000;
const DELAY_MS = 4;

/** Asks a store whose clock shows the time; returns false if the offset was not certain. */
const ask = ({ clock }: Context, storeClock: StoreClock, storeMs: number): boolean => {
  const askedMs = performance.now();
  clock.tick(DELAY_MS);
  return storeClock.noteAnswer(askedMs, storeMs);
};

for (const stepMs of [-5_000, 5_000]) {
  // Guards against states that never look old, and roll-outs dated wrongly, after such a step.
  test(`an offset is given up when the store's clock steps by ${stepMs} ms`, (context) => {
    const storeClock = new StoreClock();
    ask(context, storeClock, FIRST_MS);
    assert.ok(ask(context, storeClock, FIRST_MS + DELAY_MS));
    const storeMs = FIRST_MS + stepMs;
    assert.not(ask(context, storeClock, storeMs));
    const nowMs = performance.now();
    assert.ok((storeClock.toSteadyMs(storeMs) ?? Infinity) <= nowMs);
    assert.ok((storeClock.toSteadyMs(storeMs) ?? -Infinity) >= nowMs - DELAY_MS);
    assert.ok((storeClock.toLatestSteadyMs(storeMs) ?? Infinity) <= nowMs);
  });
}

test.run();

/** Which requests wait while a daemon starts, and for how long. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { StartupQueue } from './startupQueue.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('startup queue', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
});

test.after.each(({ clock }) => clock.uninstall());

/**
 * Runs a queue of a daemon that becomes ready at `knownAtMs`; returns when each request was
 * released.
 */
const runQueue = (
  clock: Clock,
  knownAtMs: number,
  arrivesAtMs: readonly number[],
): readonly number[] => {
  const startedAtMs = performance.now();
  const getPassedMs = (): number => performance.now() - startedAtMs;
  const queue = new StartupQueue(() => getPassedMs() >= knownAtMs);
  const releasedAtMs: number[] = [];
  arrivesAtMs.forEach((atMs) => {
    setTimeout(() => queue.enqueue(() => releasedAtMs.push(getPassedMs())), atMs);
  });
  clock.tick(5_000);
  return releasedAtMs;
};

test('requests wait until the daemon knows where to send them', ({ clock }) => {
  assert.equal(runQueue(clock, 300, [10, 200, 290, 400]), [310, 310, 310, 400]);
});

test('no request waits longer than half a second', ({ clock }) => {
  assert.equal(runQueue(clock, 4_000, [100]), [600]);
});

// Guards against callers that wait in vain: a daemon that is partitioned never gets its tables, so
// a request that it cannot serve must not be queued.
test('a daemon that is not ready long after its start queues no request', ({ clock }) => {
  assert.equal(runQueue(clock, Infinity, [1_600, 3_000]), [1_600, 3_000]);
});

test('the number of queued requests is bounded', ({ clock }) => {
  const went = runQueue(
    clock,
    300,
    Array.from({ length: 600 }, () => 50),
  );
  assert.is(went.length, 600);
  assert.is(went.filter((atMs) => atMs === 50).length, 100);
});

test.run();

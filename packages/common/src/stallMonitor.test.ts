import FakeTimers from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StallMonitor, type Stall } from './stallMonitor.js';

const CHECK_INTERVAL_MS = 250;

/** Runs `play` with a clock that can jump while no timer fires. */
const playStalls = (
  play: (monitor: StallMonitor, clock: FakeTimers.Clock) => void,
): readonly Stall[] => {
  const clock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  const stalls: Stall[] = [];
  try {
    const monitor = new StallMonitor((stall) => stalls.push(stall));
    monitor.start();
    play(monitor, clock);
    monitor.stop();
  } finally {
    clock.uninstall();
  }
  return stalls;
};

// Guards against a daemon that stands still for seconds, of which neither a line nor a metric tells.
test('a stall is reported with its length and the work that held the loop up', () => {
  const stalls = playStalls((monitor, clock) => {
    monitor.note('callerRequest', 'before');
    clock.tick(100);
    monitor.note('upstreamAnswer', 'garbled');
    clock.jump(7_000);
    monitor.note('callerRequest', 'after');
    clock.tick(CHECK_INTERVAL_MS);
  });
  assert.is(stalls.length, 1);
  const [stall] = stalls;
  assert.is(stall?.activity, 'upstreamAnswer');
  assert.is(stall?.id, 'garbled');
  assert.ok((stall?.stalledMs ?? 0) >= 7_000 - CHECK_INTERVAL_MS, String(stall?.stalledMs));
});

test('a loop that keeps its time is not reported', () => {
  const stalls = playStalls((monitor, clock) => {
    for (let round = 0; round < 20; round += 1) {
      monitor.note('datagram', 'peer');
      clock.tick(CHECK_INTERVAL_MS);
    }
  });
  assert.equal(stalls, []);
});

test.run();

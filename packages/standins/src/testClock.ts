/** The paused clock of the tests. */
import FakeTimers from '@sinonjs/fake-timers';

const START_MS = 1_000_000;

/** Runs the body while time stands still but for what it ticks. */
export const withClock = async (
  body: (clock: FakeTimers.Clock) => Promise<void>,
): Promise<void> => {
  const clock = FakeTimers.install({ now: START_MS });
  try {
    await body(clock);
  } finally {
    clock.uninstall();
  }
};

/** Test suite for simulated fleets with a fake clock, one fleet per test at a time. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite, type Test } from 'uvu';
import { DaemonFleet, type FleetOptions } from './daemonFleet.js';

export interface FleetContext {
  clock: Clock;
  /** Stopped automatically after the test. */
  fleet: DaemonFleet | undefined;
}

const NOON_MS = 1_700_000_000_000;

/** Hundreds of daemons may each queue several jobs in one step of the clock. */
const MAX_JOBS_PER_STEP = 100_000;

export const createFleetSuite = (name: string): Test<FleetContext> => {
  const test = suite<FleetContext>(name, {} as FleetContext);
  test.before.each((context) => {
    context.clock = FakeTimers.install({ now: NOON_MS, loopLimit: MAX_JOBS_PER_STEP });
    context.fleet = undefined;
  });
  test.after.each(({ clock, fleet }) => {
    fleet?.stop();
    clock.uninstall();
  });
  return test;
};

/** Creates a fleet without starting it. */
export const createFleet = (context: FleetContext, options: FleetOptions): DaemonFleet => {
  const fleet = new DaemonFleet(context.clock, options);
  context.fleet = fleet;
  return fleet;
};

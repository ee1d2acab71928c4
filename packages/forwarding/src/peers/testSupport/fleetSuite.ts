/** A suite whose tests play fleets under a faked clock, one after another. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite, type Test } from 'uvu';
import { DaemonFleet, type FleetOptions } from './daemonFleet.js';

export interface FleetContext {
  clock: Clock;
  /** Stopped after the test. */
  fleet: DaemonFleet | undefined;
}

const NOON_MS = 1_700_000_000_000;

export const createFleetSuite = (name: string): Test<FleetContext> => {
  const test = suite<FleetContext>(name, {} as FleetContext);
  test.before.each((context) => {
    context.clock = FakeTimers.install({ now: NOON_MS });
    context.fleet = undefined;
  });
  test.after.each(({ clock, fleet }) => {
    fleet?.stop();
    clock.uninstall();
  });
  return test;
};

/** A fleet that has not started. */
export const createFleet = (context: FleetContext, options: FleetOptions): DaemonFleet => {
  const fleet = new DaemonFleet(context.clock, options);
  context.fleet = fleet;
  return fleet;
};

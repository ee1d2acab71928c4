/** Time until store changes reach all remaining daemons after every reader has been killed. */
import * as assert from 'uvu/assert';
import type { DaemonFleet, FleetMember, FleetOptions } from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite } from './testSupport/fleetSuite.js';

const test = createFleetSuite('loss of readers');

const TABLES = ['operator', 'upstreams', 'status'];
const SETTLE_MS = 5_000;
const STEP_MS = 20;

/** `maxDelayMs` is the time allowed for a change to take effect in a fleet of this size. */
const FLEETS: readonly (FleetOptions & { readonly maxDelayMs: number })[] = [
  { daemons: 9, dataCentres: 3, seeds: 3, tables: TABLES, maxDelayMs: 2_000 },
  { daemons: 64, dataCentres: 3, seeds: 3, tables: TABLES, maxDelayMs: 3_000 },
];

/** Time since the readers sent their pending request, which the store holds for up to 2.4 s. */
const REQUEST_AGES_MS: readonly number[] = [0, 700, 1_400, 2_100];

const killReaders = (fleet: DaemonFleet): readonly FleetMember[] => {
  const readers = fleet.members.filter(
    ({ readerRegistry }) => readerRegistry.ownReports.length > 0,
  );
  readers.forEach((reader) => {
    fleet.network.setDown(reader.self.host, true);
    fleet.stopMember(reader);
  });
  return fleet.members.filter((member) => !readers.includes(member));
};

const measureDelayMs = async (
  fleet: DaemonFleet,
  members: readonly FleetMember[],
  key: string,
): Promise<number> => {
  const isKnown = (): boolean => members.every(({ tables }) => tables[0]?.known.has(key));
  let delayMs = 0;
  while (!isKnown() && delayMs < 2 * SETTLE_MS) {
    await fleet.advance(STEP_MS);
    delayMs += STEP_MS;
  }
  return delayMs;
};

// Guards against treating a killed reader as active for as long as the store may hold its request.
for (const { maxDelayMs, ...options } of FLEETS) {
  for (const ageMs of REQUEST_AGES_MS) {
    test(`${options.daemons} daemons receive a change in time after readers are killed ${ageMs} ms into their request`, async (context) => {
      const fleet = createFleet(context, options);
      TABLES.forEach((table) => fleet.store.put('first', table));
      await fleet.start();
      await fleet.advance(SETTLE_MS + ageMs);
      const remaining = killReaders(fleet);
      TABLES.forEach((table) => fleet.store.put('second', table));
      const delayMs = await measureDelayMs(fleet, remaining, 'second');
      assert.ok(delayMs < maxDelayMs, `${delayMs} ms`);
    });
  }
}

test.run();

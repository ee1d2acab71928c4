/** Time until configurations take effect while the readers' connections to the store are silent. */
import * as assert from 'uvu/assert';
import type { FleetMember } from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite } from './testSupport/fleetSuite.js';
import { measureMaxDelayMs } from './testSupport/rowSeries.js';

const test = createFleetSuite('silent readers');

const TABLE = 'operator';
const SETTLE_MS = 6_000;
const ROWS = 40;

/** `deadlineMs`: time within which a configuration must be in force. */
const FLEETS = [
  { daemons: 9, deadlineMs: 2_000 },
  { daemons: 18, deadlineMs: 3_000 },
  { daemons: 64, deadlineMs: 3_000 },
];

const MARGIN_MS = 300;
const SEEDS: readonly number[] = [1, 2, 3];

const isReader = ({ readerRegistry }: FleetMember): boolean =>
  readerRegistry.ownReports.some(({ table }) => table === TABLE);

const FOLLOWER_COUNTS = { all: Infinity, one: 1 };

for (const { daemons, deadlineMs } of FLEETS) {
  for (const seed of SEEDS) {
    for (const [name, count] of Object.entries(FOLLOWER_COUNTS)) {
      // Guards against followers that rely on readers whose connections deliver nothing.
      test(`${name} of ${daemons} daemons' followers know each configuration in time, seed ${seed}`, async (context) => {
        const options = { daemons, dataCentres: 3, seeds: 3, tables: [TABLE], seed: seed * 1_000 };
        const fleet = createFleet(context, {
          ...options,
          maxUnconfirmedMs: deadlineMs - MARGIN_MS,
        });
        fleet.store.put('first', TABLE);
        await fleet.start();
        await fleet.advance(SETTLE_MS + seed * 370);
        const inTouch = fleet.members.filter((one) => !isReader(one)).slice(0, count);
        fleet.members
          .filter((one) => !inTouch.includes(one))
          .forEach(({ self }) => fleet.store.cutOffVms.add(self.vm));
        const series = { table: TABLE, rows: ROWS, listServing: () => inTouch };
        const delayMs = await measureMaxDelayMs(fleet, series);
        assert.ok(delayMs < deadlineMs, `${delayMs} ms`);
      });
    }
  }
}

const CALM_MS = 15_000;

for (const { daemons, deadlineMs } of FLEETS) {
  // Guards against calls of followers that would pass the time of a confirmation on calm days.
  test(`no follower of ${daemons} daemons asks the store while readers report`, async (context) => {
    const options = { daemons, dataCentres: 3, seeds: 3, tables: [TABLE] };
    const fleet = createFleet(context, { ...options, maxUnconfirmedMs: deadlineMs - MARGIN_MS });
    fleet.store.put('first', TABLE);
    await fleet.start();
    await fleet.advance(SETTLE_MS);
    const followers = fleet.members.filter((one) => !isReader(one));
    const countCalls = (): number =>
      followers.reduce((sum, { self }) => sum + fleet.store.getCalls(self.vm), 0);
    const before = countCalls();
    await fleet.advance(CALM_MS);
    assert.is(countCalls(), before);
  });
}

test.run();

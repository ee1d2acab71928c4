/** Time until configurations take effect while most daemons end and come back. */
import { createRandom } from '@snipehaven/common';
import * as assert from 'uvu/assert';
import type { FleetMember } from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite } from './testSupport/fleetSuite.js';
import { measureMaxDelayMs } from './testSupport/rowSeries.js';

const test = createFleetSuite('configurations while daemons end');

const TABLES = ['operator', 'upstreams', 'status'];
const TABLE = 'operator';
const SETTLE_MS = 5_000;
const ROWS = 19;
const KILLED_SHARE = 0.6;
const KILLED_AT_MS = 800;
const RESTARTED_AT_MS = 2_760;

/** `deadlineMs`: time within which a configuration must be in force. */
const FLEETS = [
  { daemons: 9, deadlineMs: 2_000 },
  { daemons: 64, deadlineMs: 3_000 },
];

const SEEDS: readonly number[] = [1, 2, 3, 4];

const isReader = ({ readerRegistry }: FleetMember): boolean => readerRegistry.ownReports.length > 0;

const isServing = ({ tables }: FleetMember): boolean => tables[0]?.knownAtMs !== undefined;

for (const { daemons, deadlineMs } of FLEETS) {
  for (const seed of SEEDS) {
    // Guards against routes that are unknown for too long after all readers have ended among other daemons.
    test(`${daemons} daemons know each configuration in time when most are killed and restarted, seed ${seed}`, async (context) => {
      const options = { daemons, dataCentres: 3, seeds: 3, tables: TABLES };
      const fleet = createFleet(context, { ...options, seed: seed * 1_000 });
      TABLES.forEach((table) => fleet.store.put('first', table));
      await fleet.start();
      await fleet.advance(SETTLE_MS + seed * 370);
      const random = createRandom(seed);
      const killed = fleet.members.filter(
        (member) => isReader(member) || random.next() < KILLED_SHARE,
      );
      const steps = [
        { atMs: KILLED_AT_MS, act: () => killed.forEach((member) => fleet.stopMember(member)) },
        { atMs: RESTARTED_AT_MS, act: () => fleet.restart(killed) },
      ];
      const onStep = async (passedMs: number): Promise<void> => {
        while (steps[0] !== undefined && passedMs >= steps[0].atMs) {
          await steps.shift()?.act();
        }
      };
      const listServing = (): readonly FleetMember[] =>
        fleet.members.filter((member) => isServing(member) && !killed.includes(member));
      const series = { table: TABLE, rows: ROWS, listServing, onStep };
      const delayMs = await measureMaxDelayMs(fleet, series);
      assert.ok(delayMs < deadlineMs, `${delayMs} ms`);
    });
  }
}

test.run();

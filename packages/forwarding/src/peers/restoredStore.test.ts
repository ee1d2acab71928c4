/** Daemons after the store came back from a copy and gave versions out again. */
import * as assert from 'uvu/assert';
import type { DaemonFleet, FleetMember, FleetOptions } from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite, type FleetContext } from './testSupport/fleetSuite.js';

const test = createFleetSuite('restored store');

const TABLES = ['operator', 'upstreams', 'status'];
const SETTLE_MS = 5_000;
const STEP_MS = 20;
const AWAY_MS = 600;
const CUT_DATA_CENTRE = 'dc-1';

/** `maxDelayMs` is the time allowed for a change to take effect in a fleet of this size. */
type TimedFleet = FleetOptions & { readonly maxDelayMs: number };

const createOptions = (daemons: number, maxDelayMs: number): TimedFleet => ({
  daemons,
  dataCentres: 3,
  seeds: Math.min(3, daemons - 1),
  tables: TABLES,
  maxUnconfirmedMs: maxDelayMs - 300,
  maxDelayMs,
});

const FLEETS: readonly TimedFleet[] = [
  createOptions(2, 2_000),
  createOptions(9, 2_000),
  createOptions(18, 2_000),
  createOptions(64, 3_000),
];

const LARGE_FLEET = createOptions(400, 4_000);

/** Writes some rows that the copy lacks, and changes those that it has. */
const writeLostRows = ({ store }: DaemonFleet, count: number): void => {
  TABLES.forEach((table) => {
    store.put('changed', table, 'lost');
    store.remove('restored', table);
    for (let index = 0; index < count; index += 1) {
      store.put(`lost-${index}`, table);
    }
  });
};

const writeNewRows = ({ store }: DaemonFleet, count: number): void => {
  TABLES.forEach((table) => {
    store.put('changed', table, 'new');
    store.put('added', table);
    store.remove('removed', table);
    for (let index = 0; index < count; index += 1) {
      store.put(`new-${index}`, table);
    }
  });
};

const startFleet = async (context: FleetContext, options: FleetOptions): Promise<DaemonFleet> => {
  const fleet = createFleet(context, options);
  TABLES.forEach((table) => {
    ['kept', 'changed', 'removed', 'restored'].forEach((key) => fleet.store.put(key, table));
  });
  await fleet.start();
  await fleet.advance(SETTLE_MS);
  return fleet;
};

interface Return {
  /** Changes of each table that the copy lacks. */
  readonly lost: number;
  /** Changes of each table while no daemon reaches the store again yet. */
  readonly written: number;
}

/** Lets the store be away and come back from a copy that is `lost` changes old. */
const restoreStore = async (fleet: DaemonFleet, { lost, written }: Return): Promise<void> => {
  const { store } = fleet;
  const copy = store.takeCopy();
  writeLostRows(fleet, lost);
  await fleet.advance(1_000);
  store.isDown = true;
  await fleet.advance(AWAY_MS);
  store.restore(copy);
  writeNewRows(fleet, written);
  store.isDown = false;
};

const knowsStore = ({ store }: DaemonFleet, { tables }: FleetMember): boolean =>
  TABLES.every((table, index) => {
    const rows = store.listRows(table);
    const known = tables[index]?.known ?? new Map<string, string>();
    return rows.size === known.size && [...rows].every(([key, value]) => known.get(key) === value);
  });

/** Time until all daemons know all tables as the store has them now. */
const measureDelayMs = async (fleet: DaemonFleet): Promise<number> => {
  const countBehind = (): number =>
    fleet.members.filter((member) => !knowsStore(fleet, member)).length;
  let delayMs = 0;
  while (countBehind() > 0 && delayMs < 2 * SETTLE_MS) {
    await fleet.advance(STEP_MS);
    delayMs += STEP_MS;
  }
  assert.is(countBehind(), 0, `${countBehind()} of ${fleet.members.length} behind`);
  return delayMs;
};

const assertSoon = async (fleet: DaemonFleet, maxDelayMs: number): Promise<void> => {
  const delayMs = await measureDelayMs(fleet);
  assert.ok(delayMs <= maxDelayMs, `${delayMs} ms`);
};

const RETURNS: readonly (Return & { readonly name: string })[] = [
  { name: 'versions stay below those lost', lost: 10, written: 1 },
  { name: 'versions overtake those lost before they are read', lost: 3, written: 20 },
  { name: 'versions reach just those lost', lost: 5, written: 5 },
];

for (const options of FLEETS) {
  const { daemons, maxDelayMs } = options;
  for (const { name, ...change } of RETURNS) {
    // Guards against followers that take smaller versions for older states of the store.
    test(`${daemons} daemons know a restored store whose ${name}`, async (context) => {
      const fleet = await startFleet(context, options);
      await restoreStore(fleet, change);
      await assertSoon(fleet, maxDelayMs);
      fleet.store.put('later', 'operator');
      await assertSoon(fleet, maxDelayMs);
    });
  }

  // Guards against daemons that stay at the earlier state because only other daemons can tell them.
  test(`${daemons} daemons know a restored store of which some only hear`, async (context) => {
    const fleet = await startFleet(context, options);
    fleet.members
      .filter(({ self }) => self.dataCentre === CUT_DATA_CENTRE)
      .forEach(({ self }) => fleet.store.cutOffVms.add(self.vm));
    await restoreStore(fleet, { lost: 4, written: 20 });
    await assertSoon(fleet, maxDelayMs);
  });

  // Guards against tables of an earlier return that pass for those of the last one.
  test(`${daemons} daemons know a store that was restored twice`, async (context) => {
    const fleet = await startFleet(context, options);
    await restoreStore(fleet, { lost: 4, written: 9 });
    await fleet.advance(300);
    await restoreStore(fleet, { lost: 9, written: 2 });
    await assertSoon(fleet, maxDelayMs);
  });

  // Guards against a daemon that comes back from a cut and spreads the earlier state.
  test(`${daemons} daemons know a restored store after a cut has healed`, async (context) => {
    const fleet = await startFleet(context, options);
    const cut = fleet.members.filter(({ self }) => self.dataCentre === CUT_DATA_CENTRE);
    fleet.network.setCut(CUT_DATA_CENTRE, true);
    cut.forEach(({ self }) => fleet.store.cutOffVms.add(self.vm));
    await restoreStore(fleet, { lost: 4, written: 20 });
    await fleet.advance(SETTLE_MS);
    fleet.network.setCut(CUT_DATA_CENTRE, false);
    cut.forEach(({ self }) => fleet.store.cutOffVms.delete(self.vm));
    await assertSoon(fleet, maxDelayMs);
  });
}

test('400 daemons know a restored store whose versions overtake those lost', async (context) => {
  const fleet = await startFleet(context, LARGE_FLEET);
  await restoreStore(fleet, { lost: 3, written: 20 });
  await assertSoon(fleet, LARGE_FLEET.maxDelayMs);
});

test.run();

/**
 * Daemons that cannot reach the store, behind changes that no datagram brought them: a data centre
 * is cut off from the store while the store drops its history, or while changes are lost.
 */
import { createRandom } from '@snipehaven/common';
import * as assert from 'uvu/assert';
import type {
  DaemonFleet,
  FleetMember,
  FleetOptions,
  WatchedTable,
} from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite, type FleetContext } from './testSupport/fleetSuite.js';

const test = createFleetSuite('dropped history');

const TABLES = ['operator', 'upstreams', 'status'];
const SETTLE_MS = 5_000;
const STEP_MS = 20;
const LOSS_MS = 100;
const CUT_DATA_CENTRE = 'dc-1';

/** `maxDelayMs` is the time allowed for a change to take effect in a fleet of this size. */
type TimedFleet = FleetOptions & { readonly maxDelayMs: number };

const SMALL_FLEET: TimedFleet = {
  daemons: 9,
  dataCentres: 3,
  seeds: 3,
  tables: TABLES,
  maxDelayMs: 2_000,
};

const FLEETS: readonly TimedFleet[] = [
  SMALL_FLEET,
  { daemons: 18, dataCentres: 3, seeds: 3, tables: TABLES, maxDelayMs: 2_000 },
  { daemons: 74, dataCentres: 3, seeds: 3, tables: TABLES, maxDelayMs: 3_000 },
];

/** How long the data centre has been cut off when the table changes. */
const CUT_AGES_MS: readonly number[] = [0, 2_000];

const startCutOff = async (
  context: FleetContext,
  options: FleetOptions,
  cutAgeMs: number,
): Promise<DaemonFleet> => {
  const fleet = createFleet(context, options);
  TABLES.forEach((table) => {
    ['kept', 'changed', 'removed'].forEach((key) => fleet.store.put(key, table));
  });
  await fleet.start();
  await fleet.advance(SETTLE_MS);
  listCutOff(fleet).forEach(({ self }) => fleet.store.cutOffVms.add(self.vm));
  await fleet.advance(cutAgeMs);
  return fleet;
};

const listCutOff = ({ members }: DaemonFleet): readonly FleetMember[] =>
  members.filter(({ self }) => self.dataCentre === CUT_DATA_CENTRE);

const changeTables = ({ store }: DaemonFleet): void => {
  TABLES.forEach((table) => {
    store.put('changed', table, 'new');
    store.put('added', table);
    store.remove('removed', table);
  });
};

/** Text that does not compress well and takes four datagrams. */
const createLargeValue = (): string => {
  const random = createRandom(1);
  return Array.from({ length: 100_000 }, () => random.nextInt(36).toString(36)).join('');
};

const isTableUpToDate = ({ known }: WatchedTable): boolean =>
  known.get('changed') === 'new' && known.has('added') && !known.has('removed');

const isUpToDate = ({ tables }: FleetMember): boolean => tables.every(isTableUpToDate);

const assertSoon = async (
  fleet: DaemonFleet,
  isDone: (member: FleetMember) => boolean,
  maxDelayMs: number,
): Promise<void> => {
  const countBehind = (): number => fleet.members.filter((member) => !isDone(member)).length;
  let delayMs = 0;
  while (countBehind() > 0 && delayMs < 2 * SETTLE_MS) {
    await fleet.advance(STEP_MS);
    delayMs += STEP_MS;
  }
  assert.ok(delayMs < maxDelayMs, `${countBehind()} behind after ${delayMs} ms`);
};

const hasNoRemovedRow = ({ tables }: FleetMember): boolean =>
  tables.every(({ known }) => !known.has('removed'));

for (const { maxDelayMs, ...options } of FLEETS) {
  for (const cutAgeMs of CUT_AGES_MS) {
    // Guards against followers that keep an old table although reports name a newer one.
    test(`${options.daemons} daemons get changes behind a dropped history, ${cutAgeMs} ms after a cut`, async (context) => {
      const fleet = await startCutOff(context, options, cutAgeMs);
      changeTables(fleet);
      fleet.store.dropHistory();
      await assertSoon(fleet, isUpToDate, maxDelayMs);
    });
  }

  // Guards against confirming the table of a daemon that holds a row removed behind the hole.
  test(`${options.daemons} daemons get a removal behind a dropped history`, async (context) => {
    const fleet = await startCutOff(context, options, 0);
    TABLES.forEach((table) => fleet.store.remove('removed', table));
    fleet.store.dropHistory();
    await assertSoon(fleet, hasNoRemovedRow, maxDelayMs);
  });

  // Guards against waiting for a relayed change that was lost, with no way to the store.
  test(`${options.daemons} daemons get changes whose datagrams were lost`, async (context) => {
    const fleet = await startCutOff(context, options, 2_000);
    const restore = listCutOff(fleet).map((member) => {
      const { readerRegistry } = member;
      const receiveChanges = readerRegistry.receiveChanges.bind(readerRegistry);
      readerRegistry.receiveChanges = () => false;
      return () => {
        readerRegistry.receiveChanges = receiveChanges;
      };
    });
    changeTables(fleet);
    await fleet.advance(LOSS_MS);
    restore.forEach((undo) => undo());
    await assertSoon(fleet, isUpToDate, maxDelayMs - LOSS_MS);
  });

  // Guards against a configuration that is too large for a datagram and reaches no daemon cut off.
  test(`${options.daemons} daemons get a table that is too large for a datagram`, async (context) => {
    const fleet = await startCutOff(context, options, 2_000);
    const value = createLargeValue();
    fleet.store.put('large', TABLES[0], value);
    await assertSoon(fleet, ({ tables }) => tables[0]?.known.get('large') === value, maxDelayMs);
  });

  // Guards against counting reports that name unknown changes as a regained store.
  test(`${options.daemons} daemons take the store for regained only when their tables are confirmed`, async (context) => {
    const fleet = await startCutOff(context, options, 2_000);
    const tables = listCutOff(fleet).flatMap((member) => member.tables);
    changeTables(fleet);
    fleet.store.dropHistory();
    const before = new Map(tables.map((table) => [table, table.recoveries]));
    for (let waitedMs = 0; waitedMs < SETTLE_MS; waitedMs += STEP_MS) {
      await fleet.advance(STEP_MS);
      tables
        .filter((table) => !isTableUpToDate(table))
        .forEach((table) => assert.is(table.recoveries, before.get(table), `${waitedMs} ms`));
    }
  });
}

/** A daemon drops its table, then loses the store, while it hears of no other daemon. */
const startAlone = async (
  context: FleetContext,
): Promise<{ readonly fleet: DaemonFleet; readonly alone: FleetMember }> => {
  const fleet = await startCutOff(context, SMALL_FLEET, 2_000);
  const [alone] = listCutOff(fleet);
  assert.ok(alone);
  const { tables, self } = alone;
  fleet.network.setDown(self.host, true);
  changeTables(fleet);
  fleet.store.dropHistory();
  fleet.store.cutOffVms.delete(self.vm);
  while (tables.every(({ watcher }) => watcher.snapshot !== undefined)) {
    await fleet.advance(1);
  }
  fleet.store.cutOffVms.add(self.vm);
  await fleet.advance(SETTLE_MS);
  assert.not(isUpToDate(alone));
  return { fleet, alone };
};

// Guards against a daemon that has dropped its table and waits for the store alone.
test('a daemon that is cut off while it reads its table again gets it from others', async (context) => {
  const { fleet, alone } = await startAlone(context);
  fleet.network.setDown(alone.self.host, false);
  await assertSoon(fleet, isUpToDate, SMALL_FLEET.maxDelayMs);
});

// Guards against dropping upstreams whose rows the store lost, before their grace period begins.
test('a daemon is told of the regained store before rows of others', async (context) => {
  const { fleet, alone } = await startAlone(context);
  const before = alone.tables.map(({ recoveries }) => recoveries);
  fleet.network.setDown(alone.self.host, false);
  await assertSoon(fleet, isUpToDate, SMALL_FLEET.maxDelayMs);
  const seen = alone.tables.map(
    ({ knownAtRecoveries }, index) => knownAtRecoveries[before[index] ?? 0],
  );
  assert.ok(seen.every((known) => known?.has('removed')));
});

test.run();

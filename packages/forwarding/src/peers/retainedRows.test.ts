/** What daemons know better than a store that has come back from a copy. */
import * as assert from 'uvu/assert';
import type { RetentionPolicy } from '../store/rowRetention.js';
import type { StoreCopy } from '../store/testSupport/memoryStore.js';
import type { DaemonFleet, FleetMember, FleetOptions } from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite, type FleetContext } from './testSupport/fleetSuite.js';

const test = createFleetSuite('retained rows');

const TABLE = 'operator';
const SETTLE_MS = 5_000;
const AWAY_MS = 600;
const REWRITE_MS = 800;
const RETENTION_MS = 4_000;
const CUT_DATA_CENTRE = 'dc-1';

/** Time in which a change must take effect in a fleet of any of these sizes. */
const MAX_DELAY_MS = 2_000;

const SEEDS = 3;

/** The greater of two numbers is the newer value; a removed row is newer than its last value. */
const RETENTION: RetentionPolicy = {
  isOlder: (written, known) =>
    known.isRemoved
      ? Number(written.value) <= Number(known.value)
      : Number(written.value) < Number(known.value),
  getRetentionMs: () => RETENTION_MS,
};

const FLEETS: readonly FleetOptions[] = [9, 18, 64].map((daemons) => ({
  daemons,
  dataCentres: 3,
  seeds: SEEDS,
  tables: [TABLE],
  retention: RETENTION,
}));

const startFleet = async (context: FleetContext, options: FleetOptions): Promise<DaemonFleet> => {
  const fleet = createFleet(context, options);
  fleet.store.put('counter', TABLE, '1');
  fleet.store.put('gone', TABLE, '1');
  await fleet.start();
  await fleet.advance(SETTLE_MS);
  return fleet;
};

const KNOWN_BEFORE = { counter: '2', added: '1' };
const COPY = { counter: '1', gone: '1' };

/** Returns a copy that lacks the changes. */
const changeRows = async (fleet: DaemonFleet): Promise<StoreCopy> => {
  const { store } = fleet;
  const copy = store.takeCopy();
  store.put('counter', TABLE, '2');
  store.put('added', TABLE, '1');
  store.remove('gone', TABLE);
  await fleet.advance(1_000);
  return copy;
};

const comeBackFrom = async (copy: StoreCopy, fleet: DaemonFleet): Promise<void> => {
  const { store } = fleet;
  store.isDown = true;
  await fleet.advance(AWAY_MS);
  store.restore(copy);
  store.isDown = false;
  await fleet.advance(REWRITE_MS);
};

const restoreStore = async (fleet: DaemonFleet): Promise<void> =>
  comeBackFrom(await changeRows(fleet), fleet);

const getKnown = ({ tables }: FleetMember): ReadonlyMap<string, string> =>
  tables[0]?.known ?? new Map<string, string>();

const assertAllKnow = (
  { members }: Pick<DaemonFleet, 'members'>,
  expected: Readonly<Record<string, string>>,
): void =>
  members.forEach((member) => assert.equal(Object.fromEntries(getKnown(member)), expected));

for (const options of FLEETS) {
  const { daemons } = options;
  // Guards against a copy that takes back what daemons have acknowledged.
  test(`${daemons} daemons keep what a copy lacks until it is written again`, async (context) => {
    const fleet = await startFleet(context, options);
    await restoreStore(fleet);
    assertAllKnow(fleet, KNOWN_BEFORE);
    fleet.store.put('counter', TABLE, '2');
    fleet.store.put('added', TABLE, '1');
    fleet.store.remove('gone', TABLE);
    await fleet.advance(REWRITE_MS);
    assertAllKnow(fleet, KNOWN_BEFORE);
    await fleet.advance(RETENTION_MS + SETTLE_MS);
    assertAllKnow(fleet, KNOWN_BEFORE);
  });

  // Guards against rows of before the return that stay although the store does not have them.
  test(`${daemons} daemons give way to the store after a while`, async (context) => {
    const fleet = await startFleet(context, options);
    await restoreStore(fleet);
    await fleet.advance(RETENTION_MS + SETTLE_MS);
    assertAllKnow(fleet, COPY);
  });

  // Guards against real changes that wait for the end of a retention.
  test(`${daemons} daemons follow what is removed or new after the return`, async (context) => {
    const fleet = await startFleet(context, options);
    await restoreStore(fleet);
    fleet.store.put('added', TABLE, '1');
    fleet.store.remove('added', TABLE);
    fleet.store.put('counter', TABLE, '3');
    fleet.store.put('gone', TABLE, '2');
    await fleet.advance(REWRITE_MS);
    assertAllKnow(fleet, { counter: '3', gone: '2' });
  });

  // Guards against older values that are written again one after the other.
  test(`${daemons} daemons do not go back while changes are repeated in order`, async (context) => {
    const fleet = await startFleet(context, options);
    fleet.store.put('counter', TABLE, '0');
    await fleet.advance(REWRITE_MS);
    await restoreStore(fleet);
    fleet.store.put('counter', TABLE, '1');
    await fleet.advance(REWRITE_MS);
    assertAllKnow(fleet, KNOWN_BEFORE);
    fleet.store.put('counter', TABLE, '2');
    await fleet.advance(REWRITE_MS);
    assertAllKnow(fleet, KNOWN_BEFORE);
  });

  // Guards against what a first return lost and a second one takes back.
  test(`${daemons} daemons keep what two copies in a row lack`, async (context) => {
    const fleet = await startFleet(context, options);
    const copy = fleet.store.takeCopy();
    await restoreStore(fleet);
    fleet.store.restore(copy);
    await fleet.advance(REWRITE_MS);
    assertAllKnow(fleet, KNOWN_BEFORE);
  });

  for (const { seedsLeft, withinMs } of [
    { seedsLeft: 1, withinMs: REWRITE_MS },
    { seedsLeft: 0, withinMs: MAX_DELAY_MS },
  ]) {
    // Guards against a daemon that starts with the copy's older rows while others know better.
    test(`${daemons} daemons, ${seedsLeft} of them seeds, tell starting ones what the copy lacks`, async (context) => {
      const fleet = await startFleet(context, options);
      const stopped = [...fleet.members.slice(0, SEEDS - seedsLeft), ...fleet.members.slice(-2)];
      await restoreStore(fleet);
      stopped.forEach((member) => fleet.stopMember(member));
      const started = await fleet.restart(stopped);
      await fleet.advance(withinMs);
      assertAllKnow({ members: started }, KNOWN_BEFORE);
      await fleet.advance(RETENTION_MS + SETTLE_MS);
      assertAllKnow(fleet, COPY);
    });
  }

  // Guards against rows that daemons keep although the time to write them again has passed elsewhere.
  test(`${daemons} daemons give way at once when they learn of a return late`, async (context) => {
    const fleet = await startFleet(context, options);
    const copy = await changeRows(fleet);
    const cut = fleet.members.filter(({ self }) => self.dataCentre === CUT_DATA_CENTRE);
    fleet.network.setCut(CUT_DATA_CENTRE, true);
    cut.forEach(({ self }) => fleet.store.cutOffVms.add(self.vm));
    await comeBackFrom(copy, fleet);
    await fleet.advance(RETENTION_MS + SETTLE_MS);
    fleet.network.setCut(CUT_DATA_CENTRE, false);
    cut.forEach(({ self }) => fleet.store.cutOffVms.delete(self.vm));
    await fleet.advance(MAX_DELAY_MS);
    assertAllKnow(fleet, COPY);
  });

  // Guards against a starting daemon that cannot place what others retain, as it read a later version.
  test(`${daemons} daemons tell starting ones while the store's version rises`, async (context) => {
    const fleet = await startFleet(context, options);
    const stopped = [...fleet.members.slice(0, SEEDS), ...fleet.members.slice(-2)];
    await restoreStore(fleet);
    stopped.forEach((member) => fleet.stopMember(member));
    const heartbeats = setInterval(() => fleet.store.raiseVersion(), 50);
    const started = await fleet.restart(stopped);
    await fleet.advance(MAX_DELAY_MS);
    clearInterval(heartbeats);
    assertAllKnow({ members: started }, KNOWN_BEFORE);
  });
}

test.run();

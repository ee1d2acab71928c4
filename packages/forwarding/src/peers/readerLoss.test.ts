/** Time until store changes reach all remaining daemons after every reader has been killed. */
import { createRandom } from '@snipehaven/common';
import * as assert from 'uvu/assert';
import type { DaemonFleet, FleetMember, FleetOptions } from './testSupport/daemonFleet.js';
import { AGGREGATOR_ORDER } from './rendezvousOrder.js';
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

/** Within this time daemons must know that an upstream has become cold. */
const COLD_NOTICE_MS = 1_000;

/** Time until a killed daemon is started again. */
const RESTART_MS = 300;

const LARGE_FLEET: FleetOptions = { daemons: 18, dataCentres: 3, seeds: 3, tables: TABLES };

const isReader = ({ readerRegistry }: FleetMember): boolean => readerRegistry.ownReports.length > 0;

const killReaders = (fleet: DaemonFleet): readonly FleetMember[] => {
  const readers = fleet.members.filter(isReader);
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

const startFleet = async (fleet: DaemonFleet, ageMs: number): Promise<void> => {
  TABLES.forEach((table) => fleet.store.put('first', table));
  await fleet.start();
  await fleet.advance(SETTLE_MS + ageMs);
};

const listUninformed = (members: readonly FleetMember[]): readonly string[] =>
  members
    .filter(({ tables }) => tables.some(({ known }) => !known.has('second')))
    .map(({ self }) => self.vm);

/** The followers at the two indexes live on. */
const SURVIVORS: readonly (readonly [number, number])[] = [
  [0, 4],
  [3, 7],
  [6, 10],
  [9, 13],
];

// Guards against requests at the usual rate to an upstream that has become cold unnoticed.
for (const [index, survivors] of SURVIVORS.entries()) {
  for (const ageMs of REQUEST_AGES_MS) {
    test(`the last two daemons, pair ${index}, know of a cold upstream when all others are killed ${ageMs} ms into the readers' request`, async (context) => {
      const fleet = createFleet(context, LARGE_FLEET);
      await startFleet(fleet, ageMs);
      const followers = fleet.members.filter((member) => !isReader(member));
      const living = followers.filter((_, place) => survivors.includes(place));
      const killed = fleet.members.filter((member) => !living.includes(member));
      killed.forEach((member) => fleet.stopMember(member));
      TABLES.forEach((table) => fleet.store.put('second', table));
      const deadlineMs = performance.now() + COLD_NOTICE_MS;
      await fleet.advance(RESTART_MS);
      await fleet.restart(killed);
      await fleet.advance(deadlineMs - performance.now());
      assert.equal(listUninformed(living), []);
    });
  }
}

const HERD_SHARE = 0.6;
const HERD_SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8];

// Guards against changes that one data centre reads and sends to ended daemons of the others.
for (const seed of HERD_SEEDS) {
  test(`all remaining daemons know of a cold upstream when the readers and most others end, seed ${seed}`, async (context) => {
    const fleet = createFleet(context, { ...LARGE_FLEET, seed: seed * 1_000 });
    await startFleet(fleet, seed * 370);
    const random = createRandom(seed);
    const killed = fleet.members.filter((member) => isReader(member) || random.next() < HERD_SHARE);
    killed.forEach((member) => fleet.stopMember(member));
    TABLES.forEach((table) => fleet.store.put('second', table));
    await fleet.advance(COLD_NOTICE_MS);
    assert.equal(listUninformed(fleet.members.filter((member) => !killed.includes(member))), []);
  });
}

// Guards against a data centre whose daemons all read the store because two of them ended.
test('most daemons do not read when a large data centre loses its first two aggregators', async (context) => {
  const fleet = createFleet(context, { ...LARGE_FLEET, daemons: 195 });
  await startFleet(fleet, 0);
  const local = fleet.members
    .filter(({ self }) => self.dataCentre === 'dc-0')
    .sort((a, b) => (AGGREGATOR_ORDER.isBefore(a.self.vm, b.self.vm) ? -1 : 1));
  const remaining = local.slice(2);
  local.slice(0, 2).forEach((member) => fleet.stopMember(member));
  const countCalls = ({ self }: FleetMember): number => fleet.store.getCalls(self.vm);
  const callsBefore = new Map(remaining.map((member) => [member, countCalls(member)]));
  await fleet.advance(SETTLE_MS);
  const reading = remaining.filter((member) => countCalls(member) > (callsBefore.get(member) ?? 0));
  assert.ok(reading.length < remaining.length / 2, `${reading.length} of ${remaining.length}`);
});

test.run();

/**
 * Joining of many daemons to one store: the store's load after a start, a loss of readers and an
 * outage, and what the daemons know.
 */
import * as assert from 'uvu/assert';
import { createRandom } from '@snipehaven/common';
import { StoreClock } from '../configuration/storeClock.js';
import { parseDatagram } from './datagram.js';
import { encodeJoinMessage, decodeJoinMessage, type JoinMessage } from './joinMessages.js';
import { READER_ORDER } from './rendezvousOrder.js';
import type { DaemonFleet, FleetMember, FleetOptions } from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite, type FleetContext } from './testSupport/fleetSuite.js';

const test = createFleetSuite('joining');

const TABLES = ['operator', 'upstreams', 'status'];
const LARGE: FleetOptions = { daemons: 195, dataCentres: 5, seeds: 3, tables: TABLES };

/**
 * The revoke deadline is 5 s; keyed requests are let in while the configuration is fresher than this.
 */
const MAX_AGE_MS = 4_800;

const createFilledFleet = (context: FleetContext, options: FleetOptions): DaemonFleet => {
  const fleet = createFleet(context, options);
  TABLES.forEach((table) => fleet.store.put('first', table));
  return fleet;
};

const startFleet = async (context: FleetContext, options: FleetOptions): Promise<DaemonFleet> => {
  const fleet = createFilledFleet(context, options);
  await fleet.start();
  await fleet.advance(4_000);
  return fleet;
};

const knowsRow = ({ tables }: FleetMember, key: string): boolean =>
  tables.every(({ known }) => known.has(key));

const getMaxAgeMs = (members: readonly FleetMember[]): number =>
  Math.max(...members.flatMap(({ tables }) => tables.map(({ freshness }) => freshness.ageMs)));

const listReaders = ({ members }: DaemonFleet): readonly FleetMember[] =>
  members.filter(({ readerRegistry }) => readerRegistry.ownReports.length > 0);

// Guards against starting daemons that ask only the store. 195 daemons then made 2,768 calls, 14
// each, before the first request: each read three tables and wrote a row, which woke all that read
// the table.
test('daemons that start together make few store calls and soon know all tables', async (context) => {
  const fleet = createFilledFleet(context, LARGE);
  await fleet.start();
  await fleet.advance(1_000);
  const { members, store } = fleet;
  assert.ok(members.every((member) => knowsRow(member, 'first')));
  assert.ok(store.allCalls <= 100, `${store.allCalls} calls`);
  await fleet.advance(9_000);
  assert.ok(store.allCalls <= 300, `${store.allCalls} calls`);
  assert.ok(getMaxAgeMs(members) < MAX_AGE_MS, `${getMaxAgeMs(members)} ms`);
  assert.is(listReaders(fleet).length, 2);
});

// Guards against daemons that take a large fleet for a small one and read the store themselves. On
// a third of a core, datagrams take a tenth of a second and the first rosters list ten or twenty
// daemons; 1,275 calls were made before the first request (723 in the first second), against 100
// with a fast start.
test('slow daemons that start together leave reading to the readers', async (context) => {
  const fleet = createFilledFleet(context, { ...LARGE, delayMs: 100 });
  await fleet.start();
  await fleet.advance(4_000);
  const { members, store } = fleet;
  assert.ok(members.every((member) => knowsRow(member, 'first')));
  assert.ok(store.allCalls <= 300, `${store.allCalls} calls`);
  assert.ok(getMaxAgeMs(members) < MAX_AGE_MS, `${getMaxAgeMs(members)} ms`);
});

/** Text that does not compress well, like a configuration of a thousand routes. */
const createLargeKey = (): string => {
  const random = createRandom(1);
  return Array.from({ length: 40_000 }, () => random.nextInt(36).toString(36)).join('');
};

// Guards against waiting until the join time-out for a table that seeds cannot send, such as a
// configuration with a thousand more routes. After a loss of power, all requests were refused for
// more than a second although the store was reachable.
test('a table that is too large for a datagram is read from the store at once', async (context) => {
  const fleet = createFilledFleet(context, LARGE);
  fleet.store.put(createLargeKey(), 'operator');
  await fleet.start();
  await fleet.advance(450);
  const { members, store } = fleet;
  const knowing = members.filter((member) => knowsRow(member, 'first'));
  assert.is(knowing.length, members.length);
  assert.ok(store.allCalls <= 500, `${store.allCalls} calls`);
});

test('a starting daemon is soon known to its data centre and knows all others', async (context) => {
  const fleet = createFilledFleet(context, LARGE);
  const [late] = fleet.members.slice(-1);
  assert.ok(late);
  await fleet.start(fleet.members.slice(0, -1));
  await fleet.advance(3_000);
  await fleet.start([late]);
  await fleet.advance(500);
  assert.is(late.directory.daemonCount, 195);
  const local = fleet.members.filter(({ self }) => self.dataCentre === late.self.dataCentre);
  const knowing = local.filter(({ directory }) => directory.find(late.self.vm) !== undefined);
  assert.is(knowing.length, local.length - 1);
});

// Guards against daemons that never get ready: after a loss of power the seeds stay away, and the
// others wait for them.
test('daemons whose seeds are gone read the store within two seconds', async (context) => {
  const fleet = createFilledFleet(context, { ...LARGE, daemons: 60 });
  const living = fleet.members.slice(3);
  await fleet.start(living);
  await fleet.advance(2_000);
  assert.ok(living.every((member) => knowsRow(member, 'first')));
});

test('all daemons receive each change despite lost datagrams, with few store calls', async (context) => {
  const fleet = await startFleet(context, { ...LARGE, lossShare: 0.02 });
  const before = fleet.store.allCalls;
  for (const key of ['second', 'third']) {
    TABLES.forEach((table) => fleet.store.put(key, table));
    await fleet.advance(2_000);
    assert.ok(fleet.members.every((member) => knowsRow(member, key)));
  }
  const calls = fleet.store.allCalls - before;
  assert.ok(calls <= 150, `${calls} calls`);
});

/**
 * Advances the clock, and returns the greatest age of the daemons' knowledge of the store
 * meanwhile.
 */
const measureMaxAgeMs = async (
  fleet: DaemonFleet,
  members: readonly FleetMember[],
  durationMs: number,
): Promise<number> => {
  let maxAgeMs = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    await fleet.advance(100);
    maxAgeMs = Math.max(maxAgeMs, getMaxAgeMs(members));
  }
  return maxAgeMs;
};

// Guards against a lost reader, and then its lost data centre, that nobody replaces (keyed requests
// are refused everywhere) or that all replace (195 daemons ask the store at once).
test('killed readers are replaced by a few daemons before keyed requests are refused', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const before = fleet.store.allCalls;
  const [dead] = listReaders(fleet);
  assert.ok(dead);
  fleet.stopMember(dead);
  const living = fleet.members.filter((member) => member !== dead);
  const ageMs = await measureMaxAgeMs(fleet, living, 6_000);
  assert.ok(ageMs < MAX_AGE_MS, `${ageMs} ms`);
  const [next] = listReaders(fleet).filter((member) => member !== dead);
  assert.ok(next);
  const { dataCentre } = next.self;
  living
    .filter(({ self }) => self.dataCentre === dataCentre)
    .forEach((one) => fleet.stopMember(one));
  const rest = living.filter(({ self }) => self.dataCentre !== dataCentre);
  const laterAgeMs = await measureMaxAgeMs(fleet, rest, 8_000);
  assert.ok(laterAgeMs < MAX_AGE_MS, `${laterAgeMs} ms`);
  assert.is(rest.filter(({ readerRegistry }) => readerRegistry.ownReports.length > 0).length, 2);
  const calls = fleet.store.allCalls - before;
  assert.ok(calls <= 120, `${calls} calls`);
});

// The loss of both readers at once is rare; keyed requests are then refused for a moment, because
// no daemon can tell whether their keys are still valid.
test('readers of two data centres that are killed at once are replaced within seven seconds', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const before = fleet.store.allCalls;
  const dead = listReaders(fleet);
  dead.forEach((member) => fleet.stopMember(member));
  const living = fleet.members.filter((member) => !dead.includes(member));
  await fleet.advance(7_000);
  assert.ok(getMaxAgeMs(living) < MAX_AGE_MS);
  assert.is(living.filter(({ readerRegistry }) => readerRegistry.ownReports.length > 0).length, 2);
  const calls = fleet.store.allCalls - before;
  assert.ok(calls <= 100, `${calls} calls`);
});

// Guards against an outage in which each daemon requests all three tables at the rate of the first
// in the order: the store received 1,400 requests a second, each of them billed.
test('an unavailable store receives few calls, and all daemons soon notice its recovery', async (context) => {
  const fleet = await startFleet(context, LARGE);
  fleet.store.isDown = true;
  await fleet.advance(4_000);
  const before = fleet.store.allCalls;
  await fleet.advance(5_000);
  const perSecond = (fleet.store.allCalls - before) / 5;
  assert.ok(perSecond <= 70, `${perSecond} calls a second`);
  fleet.store.isDown = false;
  TABLES.forEach((table) => fleet.store.put('after', table));
  await fleet.advance(1_500);
  const knowing = fleet.members.filter((member) => knowsRow(member, 'after'));
  assert.is(knowing.length, 195);
  assert.ok(fleet.members.every(({ tables }) => tables.every(({ recoveries }) => recoveries > 0)));
});

// Guards against a data centre that relies on readers from which it is disconnected. It would
// refuse keyed requests although it can reach the store.
test('a disconnected data centre gets its own readers before keyed requests are refused', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const readers = listReaders(fleet).map(({ self }) => self.dataCentre);
  const isolated = ['dc-0', 'dc-1', 'dc-2'].find((name) => !readers.includes(name)) ?? '';
  const inside = fleet.members.filter(({ self }) => self.dataCentre === isolated);
  fleet.network.setCut(isolated, true);
  const maxAgeMs = await measureMaxAgeMs(fleet, inside, 8_000);
  assert.ok(maxAgeMs < MAX_AGE_MS, `${maxAgeMs} ms`);
  assert.ok(
    inside.filter(({ readerRegistry }) => readerRegistry.ownReports.length > 0).length <= 3,
  );
});

test('daemons that the store rejects receive changes from the others', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const [first = ''] = READER_ORDER.rank(fleet.members.map(({ self }) => self.vm));
  const rejected = fleet.members.filter(({ self }, index) => self.vm === first || index % 3 === 0);
  rejected.forEach(({ self }) => fleet.store.rejectedVms.add(self.vm));
  await fleet.advance(2_000);
  const countRejectedCalls = (): number =>
    rejected.reduce((sum, { self }) => sum + fleet.store.getCalls(self.vm), 0);
  const before = countRejectedCalls();
  TABLES.forEach((table) => fleet.store.put('second', table));
  await fleet.advance(5_000);
  assert.ok(fleet.members.every((member) => knowsRow(member, 'second')));
  assert.ok(getMaxAgeMs(fleet.members) < MAX_AGE_MS);
  assert.ok(countRejectedCalls() - before <= 60, `${countRejectedCalls() - before} rejected calls`);
});

test('clock bounds from another daemon contain the store’s clock and date its reports', ({
  clock,
}) => {
  const peerClock = new StoreClock();
  peerClock.noteAnswer(performance.now(), 50_000);
  const asked = performance.now();
  clock.tick(3);
  const own = new StoreClock();
  assert.is(own.toSteadyMs(50_000), undefined);
  own.noteBounds(asked, peerClock.toStoreBounds(performance.now()) ?? { atMostMs: 0 });
  const trueMs = asked;
  assert.ok((own.toSteadyMs(50_000) ?? Infinity) <= trueMs);
  assert.ok((own.toSteadyMs(50_000) ?? -Infinity) >= trueMs - 3);
  assert.ok((own.toLatestSteadyMs(50_000) ?? -Infinity) >= trueMs);
  assert.ok((own.toLatestSteadyMs(50_000) ?? Infinity) <= trueMs + 3);
  clock.setSystemTime(Date.now() + 2_000);
  assert.is(own.toSteadyMs(50_000), undefined);
  assert.is(own.toStoreBounds(0), undefined);
});

test('join messages decode to what was encoded, and stray ones are ignored', () => {
  const peer = { vm: 'vm-1', dataCentre: 'a', host: '10.0.0.1', port: 7_000 };
  const report = {
    table: 'status',
    era: 2,
    lastChange: 3,
    serverTimeMs: 9,
    vm: 'vm-1',
    dataCentre: 'a',
  };
  const rows = [{ key: 'k', value: '{}', era: 2, version: 3 }];
  const state = { table: 'status', era: 2, version: 4, lastChange: 3, serverTimeMs: 9 };
  const snapshot = { ...state, eraAgeMs: 70, rows };
  const messages: readonly JoinMessage[] = [
    { kind: 'hello', hello: { peer, asks: 'all', questionId: 1 } },
    { kind: 'clock', clock: { questionId: 1, storeNowAtMostMs: 12.5 } },
    { kind: 'roster', roster: [{ peer, ageMs: 10 }] },
    { kind: 'readers', readers: [report] },
    { kind: 'table', table: snapshot },
  ];
  for (const message of messages) {
    const bytes = encodeJoinMessage(message) ?? Buffer.of();
    assert.equal(decodeJoinMessage(parseDatagram(bytes)), message);
  }
  const olderRows = [{ key: 'k', value: '{}', version: 3 }];
  const older = {
    kind: 'table',
    table: { table: 'status', version: 4, lastChange: 3, serverTimeMs: 9, rows: olderRows },
  };
  const decoded = decodeJoinMessage(older);
  assert.ok(
    decoded?.kind === 'table' && decoded.table.era === 0 && decoded.table.rows[0]?.era === 0,
  );
  for (const stray of [
    null,
    [],
    { kind: 'other' },
    { kind: 'toString', toString: 1 },
    { kind: 'hello', hello: { peer: { ...peer, port: 0 }, asks: 'all', questionId: 1 } },
    { kind: 'hello', hello: { peer, asks: 'more', questionId: 1 } },
    { kind: 'roster', roster: [{ peer }] },
    { kind: 'table', table: { ...snapshot, rows: [{ key: 1 }] } },
    { kind: 'table', table: { ...snapshot, eraAgeMs: -1 } },
  ]) {
    assert.is(decodeJoinMessage(stray), undefined);
  }
});

const DISCONNECTED_MS = 300;

// Guards against a follower waiting the full time of a large fleet for a change that was lost.
test('a follower that missed a change asks the store soon after the next one is relayed', async (context) => {
  const fleet = await startFleet(context, { daemons: 60, dataCentres: 3, tables: TABLES });
  const follower = fleet.members.findLast(
    ({ readerRegistry }) => readerRegistry.ownReports.length === 0,
  );
  assert.ok(follower);
  fleet.network.setDown(follower.self.host, true);
  fleet.store.put('missed', TABLES[0]);
  await fleet.advance(DISCONNECTED_MS);
  fleet.network.setDown(follower.self.host, false);
  fleet.store.put('next', TABLES[0]);
  const [firstTable] = follower.tables;
  assert.ok(firstTable);
  assert.not(firstTable.known.has('missed'));
  let waitedMs = 0;
  while (!firstTable.known.has('missed') && waitedMs < 3_000) {
    await fleet.advance(5);
    waitedMs += 5;
  }
  assert.ok(waitedMs < 400, `${waitedMs} ms`);
});

test.run();

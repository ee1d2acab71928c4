/**
 * Many daemons and one store: what a start, a loss of readers and an outage cost it, and what daemons
 * know.
 */
import * as assert from 'uvu/assert';
import { createRandom } from '@snipehaven/common';
import { StoreClock } from '../configuration/storeClock.js';
import { parseDatagram } from './datagram.js';
import { encodeJoinMessage, restoreJoinMessage, type JoinMessage } from './joinMessages.js';
import { READER_ORDER } from './peerOrder.js';
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

const knows = ({ tables }: FleetMember, key: string): boolean =>
  tables.every(({ known }) => known.has(key));

const findOldestMs = (members: readonly FleetMember[]): number =>
  Math.max(...members.flatMap(({ tables }) => tables.map(({ freshness }) => freshness.ageMs)));

const listReaders = ({ members }: DaemonFleet): readonly FleetMember[] =>
  members.filter(({ board }) => board.own.length > 0);

// Symptom: 195 daemons that start together make 2,768 calls to the store before the first request
// comes. Sequence: each reads three tables and writes a row of its own, and each row wakes all that
// read. Cause: a daemon that starts asks nobody else. Before: 14 calls a daemon.
test('daemons that start together read the store a few times, and all know it soon', async (context) => {
  const fleet = createFilledFleet(context, LARGE);
  await fleet.start();
  await fleet.advance(1_000);
  const { members, store } = fleet;
  assert.ok(members.every((member) => knows(member, 'first')));
  assert.ok(store.allCalls <= 100, `${store.allCalls} calls`);
  await fleet.advance(9_000);
  assert.ok(store.allCalls <= 300, `${store.allCalls} calls`);
  assert.ok(findOldestMs(members) < MAX_AGE_MS, `${findOldestMs(members)} ms`);
  assert.is(listReaders(fleet).length, 2);
});

// Symptom: 1,275 calls before the first request comes, where a start in memory takes 100. Sequence: all
// start on a third of a core, so that datagrams take a tenth of a second; the lists of daemons that
// they get first name ten or twenty. Cause: each takes itself for one of a small fleet, whose daemons
// read. Before: 723 calls in a second.
test('slow daemons that start together leave the reading to those that read', async (context) => {
  const fleet = createFilledFleet(context, { ...LARGE, delayMs: 100 });
  await fleet.start();
  await fleet.advance(4_000);
  const { members, store } = fleet;
  assert.ok(members.every((member) => knows(member, 'first')));
  assert.ok(store.allCalls <= 300, `${store.allCalls} calls`);
  assert.ok(findOldestMs(members) < MAX_AGE_MS, `${findOldestMs(members)} ms`);
});

/** Text that does not pack well, as a configuration of a thousand routes does not. */
const createLargeKey = (): string => {
  const random = createRandom(1);
  return Array.from({ length: 40_000 }, () => random.nextInt(36).toString(36)).join('');
};

// Symptom: for a second and more after a loss of power all are refused, though the store is well. Sequence:
// the configuration has a thousand routes more; all daemons start. Cause: seeds can't tell so large a table,
// and the others waited for it until their patience was over, before they read it themselves.
test('a table too large to be told is read at once, not waited for', async (context) => {
  const fleet = createFilledFleet(context, LARGE);
  fleet.store.put(createLargeKey(), 'operator');
  await fleet.start();
  await fleet.advance(450);
  const { members, store } = fleet;
  const knowing = members.filter((member) => knows(member, 'first'));
  assert.is(knowing.length, members.length);
  assert.ok(store.allCalls <= 500, `${store.allCalls} calls`);
});

test('a daemon is known to its data centre soon after it starts, and knows all others', async (context) => {
  const fleet = createFilledFleet(context, LARGE);
  const [late] = fleet.members.slice(-1);
  assert.ok(late);
  await fleet.start(fleet.members.slice(0, -1));
  await fleet.advance(3_000);
  await fleet.start([late]);
  await fleet.advance(500);
  assert.is(late.directory.daemons, 195);
  const local = fleet.members.filter(({ self }) => self.dataCentre === late.self.dataCentre);
  const knowing = local.filter(({ directory }) => directory.find(late.self.vm) !== undefined);
  assert.is(knowing.length, local.length - 1);
});

// Symptom: no daemon gets ready. Sequence: all lose power; those that the settings name do not come
// back. Cause: the others wait for them.
test('daemons whose seeds are gone read the store themselves within two seconds', async (context) => {
  const fleet = createFilledFleet(context, { ...LARGE, daemons: 60 });
  const living = fleet.members.slice(3);
  await fleet.start(living);
  await fleet.advance(2_000);
  assert.ok(living.every((member) => knows(member, 'first')));
});

test('with lost datagrams all know each change, and the store is asked little', async (context) => {
  const fleet = await startFleet(context, { ...LARGE, lossShare: 0.02 });
  const before = fleet.store.allCalls;
  for (const key of ['second', 'third']) {
    TABLES.forEach((table) => fleet.store.put(key, table));
    await fleet.advance(2_000);
    assert.ok(fleet.members.every((member) => knows(member, key)));
  }
  const calls = fleet.store.allCalls - before;
  assert.ok(calls <= 150, `${calls} calls`);
});

/** Lets time pass; the greatest age of what the daemons know of the store meanwhile. */
const watchAge = async (
  fleet: DaemonFleet,
  members: readonly FleetMember[],
  durationMs: number,
): Promise<number> => {
  let oldestMs = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    await fleet.advance(100);
    oldestMs = Math.max(oldestMs, findOldestMs(members));
  }
  return oldestMs;
};

// Symptom: keyed requests are refused everywhere, or 195 daemons ask the store at once. Sequence: a
// daemon that reads is killed, then its whole data centre is. Cause: nobody reads in its place, or all
// do.
test('readers that die are replaced by a few, in time for keys', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const before = fleet.store.allCalls;
  const [dead] = listReaders(fleet);
  assert.ok(dead);
  fleet.stopMember(dead);
  const living = fleet.members.filter((member) => member !== dead);
  const ageMs = await watchAge(fleet, living, 6_000);
  assert.ok(ageMs < MAX_AGE_MS, `${ageMs} ms`);
  const [next] = listReaders(fleet).filter((member) => member !== dead);
  assert.ok(next);
  const { dataCentre } = next.self;
  living
    .filter(({ self }) => self.dataCentre === dataCentre)
    .forEach((one) => fleet.stopMember(one));
  const rest = living.filter(({ self }) => self.dataCentre !== dataCentre);
  const laterAgeMs = await watchAge(fleet, rest, 8_000);
  assert.ok(laterAgeMs < MAX_AGE_MS, `${laterAgeMs} ms`);
  assert.is(rest.filter(({ board }) => board.own.length > 0).length, 2);
  const calls = fleet.store.allCalls - before;
  assert.ok(calls <= 120, `${calls} calls`);
});

// Two at once are rare: then keys are refused for a moment, as nobody can tell whether they still hold.
test('readers of two data centres that die at once are replaced within seven seconds', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const before = fleet.store.allCalls;
  const dead = listReaders(fleet);
  dead.forEach((member) => fleet.stopMember(member));
  const living = fleet.members.filter((member) => !dead.includes(member));
  await fleet.advance(7_000);
  assert.ok(findOldestMs(living) < MAX_AGE_MS);
  assert.is(living.filter(({ board }) => board.own.length > 0).length, 2);
  const calls = fleet.store.allCalls - before;
  assert.ok(calls <= 100, `${calls} calls`);
});

// Symptom: a store that is down gets 1,400 questions a second, each of them paid for. Sequence: all
// daemons lose it and each asks three tables at the pace of the first. Cause: nobody leaves the asking
// to others.
test('a store that is down is asked by few, and all know at once when it is back', async (context) => {
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
  const knowing = fleet.members.filter((member) => knows(member, 'after'));
  assert.is(knowing.length, 195);
  assert.ok(fleet.members.every(({ tables }) => tables.every(({ backs }) => backs > 0)));
});

// Symptom: a data centre that is cut off from the others refuses keyed requests, though it reaches the
// store. Sequence: it hears of no reader. Cause: both readers are elsewhere, and all leave the reading
// to them.
test('a data centre that hears no reader has its own, in time for keys', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const readers = listReaders(fleet).map(({ self }) => self.dataCentre);
  const lonely = ['dc-0', 'dc-1', 'dc-2'].find((name) => !readers.includes(name)) ?? '';
  const inside = fleet.members.filter(({ self }) => self.dataCentre === lonely);
  fleet.network.setCut(lonely, true);
  const oldestMs = await watchAge(fleet, inside, 8_000);
  assert.ok(oldestMs < MAX_AGE_MS, `${oldestMs} ms`);
  assert.ok(inside.filter(({ board }) => board.own.length > 0).length <= 3);
});

test('daemons that the store turns away hear of changes from the others', async (context) => {
  const fleet = await startFleet(context, LARGE);
  const [first = ''] = READER_ORDER.rank(fleet.members.map(({ self }) => self.vm));
  const turnedAway = fleet.members.filter(
    ({ self }, index) => self.vm === first || index % 3 === 0,
  );
  turnedAway.forEach(({ self }) => fleet.store.turnedAway.add(self.vm));
  await fleet.advance(2_000);
  const countRefused = (): number =>
    turnedAway.reduce((sum, { self }) => sum + fleet.store.getCalls(self.vm), 0);
  const before = countRefused();
  TABLES.forEach((table) => fleet.store.put('second', table));
  await fleet.advance(5_000);
  assert.ok(fleet.members.every((member) => knows(member, 'second')));
  assert.ok(findOldestMs(fleet.members) < MAX_AGE_MS);
  assert.ok(countRefused() - before <= 60, `${countRefused() - before} calls turned away`);
});

test('another daemon’s word of the store’s clock is never too late, and dates its news', ({
  clock,
}) => {
  const teller = new StoreClock();
  teller.noteAnswer(performance.now(), 50_000);
  const asked = performance.now();
  clock.tick(3);
  const own = new StoreClock();
  assert.is(own.toSteadyMs(50_000), undefined);
  own.noteBounds(asked, teller.toStoreBounds(performance.now()) ?? { atMostMs: 0 });
  const trueMs = asked;
  assert.ok((own.toSteadyMs(50_000) ?? Infinity) <= trueMs);
  assert.ok((own.toSteadyMs(50_000) ?? -Infinity) >= trueMs - 3);
  assert.ok((own.toLatestSteadyMs(50_000) ?? -Infinity) >= trueMs);
  assert.ok((own.toLatestSteadyMs(50_000) ?? Infinity) <= trueMs + 3);
  clock.setSystemTime(Date.now() + 2_000);
  assert.is(own.toSteadyMs(50_000), undefined);
  assert.is(own.toStoreBounds(0), undefined);
});

test('join messages come back as they were sent, and stray ones are nothing', () => {
  const peer = { vm: 'vm-1', dataCentre: 'a', host: '10.0.0.1', port: 7_000 };
  const news = { table: 'status', lastChange: 3, serverTimeMs: 9, vm: 'vm-1', dataCentre: 'a' };
  const rows = [{ key: 'k', value: '{}', version: 3 }];
  const snapshot = { table: 'status', version: 4, lastChange: 3, serverTimeMs: 9, rows };
  const messages: readonly JoinMessage[] = [
    { kind: 'hello', hello: { peer, asks: 'all', questionId: 1 } },
    { kind: 'clock', clock: { questionId: 1, storeNowAtMostMs: 12.5 } },
    { kind: 'roster', roster: [{ peer, ageMs: 10 }] },
    { kind: 'readers', readers: [news] },
    { kind: 'table', table: snapshot },
  ];
  for (const message of messages) {
    const bytes = encodeJoinMessage(message) ?? Buffer.of();
    assert.equal(restoreJoinMessage(parseDatagram(bytes)), message);
  }
  for (const stray of [
    null,
    [],
    { kind: 'other' },
    { kind: 'toString', toString: 1 },
    { kind: 'hello', hello: { peer: { ...peer, port: 0 }, asks: 'all', questionId: 1 } },
    { kind: 'hello', hello: { peer, asks: 'more', questionId: 1 } },
    { kind: 'roster', roster: [{ peer }] },
    { kind: 'table', table: { ...snapshot, rows: [{ key: 1 }] } },
  ]) {
    assert.is(restoreJoinMessage(stray), undefined);
  }
});

const DISCONNECTED_MS = 300;

// Guards against a follower waiting the full time of a large fleet for a change that was lost.
test('a follower that missed a change asks the store soon after the next one is passed on', async (context) => {
  const fleet = await startFleet(context, { daemons: 60, dataCentres: 3, tables: TABLES });
  const follower = fleet.members.findLast(({ board }) => board.own.length === 0);
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

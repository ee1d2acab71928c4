/** Who reads the store's feeds, and what the others learn from them. */
import { createRandom } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeChanges, restoreChanges, type TableChanges } from './changesMessage.js';
import { parseDatagram } from './datagram.js';
import { encodeLoadMessage, restoreLoadMessage, type LoadMessage } from './loadMessage.js';
import { NewsBoard } from './newsBoard.js';
import { PeerDirectory } from './peerDirectory.js';
import { PeerLoads, subtractLoads } from './peerLoads.js';

const TABLE = 'upstreams';
const VMS = Array.from({ length: 9 }, (_, index) => `vm-${index}`);
const MAX_AGE_MS = 3_000;

const createMessage = (vm: string, more: Partial<LoadMessage> = {}): LoadMessage => ({
  vm,
  dataCentre: 'a',
  process: 1,
  sequence: 1,
  loads: new Map(),
  news: [{ table: TABLE, lastChange: 5, serverTimeMs: 100 }],
  scope: 'own',
  readers: [],
  members: 0,
  learned: { paces: [], demands: [], rollouts: [] },
  ...more,
});

/** Boards of all daemons, each having heard of all others that read. */
const createBoards = (readers: readonly string[], nowMs: number): ReadonlyMap<string, NewsBoard> =>
  new Map(
    VMS.map((vm) => {
      const board = new NewsBoard(vm, 'a');
      readers
        .filter((other) => other !== vm)
        .forEach((other) => board.take(createMessage(other), nowMs));
      return [vm, board];
    }),
  );

const listHolders = (boards: ReadonlyMap<string, NewsBoard>, nowMs: number): readonly string[] =>
  [...boards]
    .filter(([, board]) => !board.isCovered(TABLE, VMS.length, { nowMs, maxAgeMs: MAX_AGE_MS }))
    .map(([vm]) => vm);

test('a few of the daemons hold the feeds', () => {
  const holders = listHolders(createBoards(VMS, 0), 10);
  assert.is(holders.length, 4);
});

// Symptom: a change is known nowhere for long. Sequence: the feeds of all readers go silent without a
// reset. Cause: the others wait for readers that hear nothing.
test('readers that hear nothing new are replaced', () => {
  const readers = listHolders(createBoards(VMS, 0), 10);
  const boards = createBoards(VMS, 0);
  VMS.filter((vm) => !readers.includes(vm)).forEach((vm) => {
    boards.get(vm)?.take(createMessage(readers[0] ?? '', { sequence: 2 }), MAX_AGE_MS - 1);
  });
  assert.is(listHolders(boards, MAX_AGE_MS + 1).length, VMS.length);
});

test('a reader that lost the store is replaced at once', () => {
  const boards = createBoards(VMS, 0);
  const [lost = ''] = listHolders(boards, 10);
  boards.forEach((board) => board.take(createMessage(lost, { sequence: 2, news: [] }), 20));
  const holders = listHolders(boards, 30).filter((vm) => vm !== lost);
  assert.is(holders.length, 4);
});

// Symptom: a whole region hears nothing of the store for seconds. Sequence: a data centre is cut off.
// Cause: all that read were in it.
test('of many daemons two read for all, in two data centres', () => {
  const many = Array.from({ length: 60 }, (_, index) => `vm-${index}`);
  const findCentre = (vm: string): string => `dc-${many.indexOf(vm) % 3}`;
  const query = { nowMs: 10, maxAgeMs: MAX_AGE_MS };
  const holders = many.filter((vm) => {
    const board = new NewsBoard(vm, findCentre(vm));
    const others = many.filter((other) => other !== vm);
    others.forEach((other) =>
      board.take(createMessage(other, { dataCentre: findCentre(other) }), 0),
    );
    return !board.isCovered(TABLE, many.length, query);
  });
  assert.is(holders.length, 2);
  assert.is(new Set(holders.map(findCentre)).size, 2);
});

// Guards against passing on readers that stopped together with the previous aggregator.
test('a new aggregator drops readers that do not report within the grace period', () => {
  const board = new NewsBoard('vm-1', 'a');
  board.take(createMessage('vm-2'), 0);
  board.take(createMessage('vm-3'), 0);
  board.take(createMessage('vm-4'), 0);
  board.extendSilencePeriods('vm-2', 1_400);
  const listVms = (nowMs: number) => board.listReaders(nowMs).map(({ vm }) => vm);
  assert.equal(listVms(1_600), ['vm-3', 'vm-4']);
  board.take(createMessage('vm-3', { sequence: 2 }), 1_900);
  assert.equal(listVms(2_200), ['vm-3']);
});

// Symptom: a reader that the store turns away asks it three times a second for nine seconds. Sequence:
// it is among the first in the readers' order, so that no others count for it. Cause: its place in the
// order.
test('a reader that lost the store leans on whoever reads', () => {
  const board = new NewsBoard('vm-0', 'a');
  const query = { nowMs: 10, maxAgeMs: MAX_AGE_MS };
  assert.not(board.canLean(TABLE, 60, query));
  board.take(createMessage('vm-1'), 0);
  board.take(createMessage('vm-2', { dataCentre: 'b' }), 0);
  assert.not(board.canLean(TABLE, VMS.length, query));
  assert.ok(board.canLean(TABLE, 60, query));
  board.take(createMessage('vm-3'), 0);
  assert.ok(board.canLean(TABLE, VMS.length, query));
});

test('what aggregators say of readers replaces what was heard of those that they speak of', () => {
  const board = new NewsBoard('vm-0', 'a');
  const toReader = (vm: string, dataCentre: string, serverTimeMs = 100) => ({
    table: TABLE,
    lastChange: 5,
    serverTimeMs,
    vm,
    dataCentre,
  });
  const listVms = (nowMs: number) => board.listReaders(nowMs).map(({ vm }) => vm);
  board.takeReaders([toReader('vm-1', 'a'), toReader('vm-2', 'b')], 0);
  board.takeReaders([toReader('vm-3', 'b')], 10, 'b');
  assert.equal(listVms(20), ['vm-1', 'vm-3']);
  board.takeReaders([toReader('vm-0', 'a'), toReader('vm-3', 'b')], 30);
  assert.equal(listVms(40), ['vm-3']);
  const query = { nowMs: 10 + MAX_AGE_MS, maxAgeMs: MAX_AGE_MS };
  assert.is(board.getBest(TABLE, query), undefined);
  board.takeReaders([toReader('vm-3', 'b', 200)], 50);
  assert.is(board.getBest(TABLE, query)?.serverTimeMs, 200);
});

const CHANGES: TableChanges = {
  table: TABLE,
  after: 5,
  upTo: 9,
  serverTimeMs: 200,
  items: [
    { key: 'u-1', value: '{}', version: 7 },
    { key: 'u-2', version: 9 },
  ],
};

test('changes that leave a gap are not taken, repeated ones are dropped', () => {
  const board = new NewsBoard('vm-0', 'a');
  board.takeChanges(CHANGES);
  assert.is(board.findChanges(TABLE, 4), undefined);
  assert.equal(board.findChanges(TABLE, 6), CHANGES);
  assert.is(board.findChanges(TABLE, 9), undefined);
  assert.is(board.findChanges(TABLE, 5), undefined);
});

test('what was passed on before is not new', () => {
  const board = new NewsBoard('vm-0', 'a');
  assert.ok(board.takeChanges(CHANGES));
  assert.not(board.takeChanges(CHANGES));
  board.publishChanges({ ...CHANGES, upTo: 12 });
  assert.not(board.takeChanges({ ...CHANGES, upTo: 11 }));
});

test('messages come back as they were sent, and stray datagrams are nothing', () => {
  const bytes = encodeChanges(CHANGES) ?? Buffer.of();
  assert.equal(restoreChanges(parseDatagram(bytes)), CHANGES);
  const message = createMessage('vm-1', { loads: new Map([['u-1', { work: 12, requests: 2 }]]) });
  assert.equal(restoreLoadMessage(parseDatagram(encodeLoadMessage(message))), message);
  const readers = [{ table: TABLE, lastChange: 5, serverTimeMs: 100, vm: 'vm-3', dataCentre: 'c' }];
  const learned = {
    paces: [
      { service: 's', work: 500, tookMs: 20, answers: 3, workSquares: 90_000, workTimes: 4_000 },
    ],
    demands: [{ service: 's', model: 'm', work: 9 }],
    rollouts: [],
  };
  const sum = { ...message, scope: 'dataCentre' as const, readers, members: 4, learned };
  assert.equal(restoreLoadMessage(parseDatagram(encodeLoadMessage(sum))), sum);
  for (const stray of [null, 7, {}, [], ['x'], { changes: [1] }]) {
    assert.is(restoreChanges(stray), undefined);
    assert.is(restoreLoadMessage(stray), undefined);
  }
  assert.is(parseDatagram(bytes.subarray(0, 9)), undefined);
  const random = createRandom(1);
  const value = Array.from({ length: 40_000 }, () => random.nextInt(36).toString(36)).join('');
  const large = { ...CHANGES, items: [{ key: 'u', value, version: 9 }] };
  assert.is(encodeChanges(large), undefined);
});

// Symptom: an upstream looks busy for good. Sequence: a daemon with work there is killed; or its old
// datagram comes after a newer one. Cause: what it said last counts for ever.
test('the work of a silent daemon is forgotten, and old datagrams change nothing', () => {
  const loads = new PeerLoads();
  const tell = (sequence: number, work: number, nowMs: number, process = 1) =>
    loads.take(
      createMessage('vm-1', {
        process,
        sequence,
        loads: new Map([['u-1', { work, requests: 1 }]]),
      }),
      nowMs,
    );
  tell(2, 500, 0);
  tell(1, 900, 10);
  assert.is(loads.get('u-1').work, 500);
  tell(1, 70, 20, 2);
  assert.is(loads.get('u-1').work, 70);
  loads.dropSilent(5_000);
  assert.equal(loads.get('u-1'), { work: 0, requests: 0 });
});

// Symptom: daemons of another data centre know nothing of an engine's work here, or count it twice.
// Sequence: each daemon is heard by itself in its data centre, and as part of a sum in others.
test('a data centre’s sum holds its daemons once, and no other data centre’s', () => {
  const loads = new PeerLoads();
  const here = new Map([['u-1', { work: 10, requests: 1 }]]);
  loads.take(createMessage('vm-1', { loads: here }), 0);
  loads.take(createMessage('vm-2', { loads: here, dataCentre: 'b' }), 0);
  loads.take(createMessage('vm-3', { loads: here, dataCentre: 'c', scope: 'dataCentre' }), 0);
  assert.equal([...loads.sumUp('a', here)], [['u-1', { work: 20, requests: 2 }]]);
  assert.is(loads.get('u-1').work, 30);
  assert.equal([...loads.sumUpFleet(here)], [['u-1', { work: 40, requests: 4 }]]);
});

// Symptom: an engine looks twice as busy as it is. Sequence: a daemon that summed up hears another's
// sum, or the other way round. Cause: the sum and what it is made of are both counted.
test('a sum over the fleet and its parts are never counted together', () => {
  const loads = new PeerLoads();
  const part = new Map([['u-1', { work: 10, requests: 1 }]]);
  const whole = new Map([['u-1', { work: 30, requests: 3 }]]);
  loads.take(createMessage('vm-1', { loads: part }), 0);
  loads.take(createMessage('c', { loads: part, dataCentre: 'c', scope: 'dataCentre' }), 0);
  loads.take(createMessage('vm-2', { loads: whole, scope: 'fleet' }), 0);
  assert.equal(loads.get('u-1'), { work: 30, requests: 3 });
  loads.take(createMessage('vm-1', { loads: part, sequence: 2 }), 0);
  assert.equal(loads.get('u-1'), { work: 10, requests: 1 });
});

test('what a daemon told itself is taken off a sum, and never more than there is', () => {
  const sum = new Map([
    ['u-1', { work: 30, requests: 3 }],
    ['u-2', { work: 5, requests: 1 }],
  ]);
  const told = new Map([
    ['u-1', { work: 40, requests: 1 }],
    ['u-2', { work: 5, requests: 1 }],
  ]);
  assert.equal([...subtractLoads(sum, told)], [['u-1', { work: 0, requests: 2 }]]);
});

test('one daemon of each other data centre is drawn, and none of one’s own', () => {
  const self = { vm: 'vm-0', dataCentre: 'a', host: 'h-0', port: 1 };
  const directory = new PeerDirectory(self, createRandom(1));
  for (const [index, dataCentre] of ['a', 'b', 'b', 'c', 'c'].entries()) {
    directory.put({ vm: `vm-${index + 1}`, dataCentre, host: `h-${index + 1}`, port: 1 });
  }
  assert.equal(
    directory.pickFar().map(({ dataCentre }) => dataCentre),
    ['b', 'c'],
  );
  assert.ok(directory.isFar('h-2'));
  assert.not(directory.isFar('h-1'));
  assert.not(directory.isFar('unknown'));
});

test.run();

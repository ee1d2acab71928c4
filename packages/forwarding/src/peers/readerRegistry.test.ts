/** Selection of the daemons that read the store's feeds, and what the others receive from them. */
import { createRandom } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeChanges, decodeChanges, type TableChanges } from './changesMessage.js';
import { parseDatagram } from './datagram.js';
import { encodeLoadMessage, decodeLoadMessage, type LoadMessage } from './loadMessage.js';
import { StoreEra } from '../store/storeEra.js';
import { ReaderRegistry } from './readerRegistry.js';
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
  news: [{ table: TABLE, era: 1, lastChange: 5, serverTimeMs: 100 }],
  scope: 'own',
  readers: [],
  members: 0,
  learned: { paces: [], demands: [], rollouts: [] },
  ...more,
});

/** One registry per daemon, each with reports of all the readers. */
const createRegistries = (
  readers: readonly string[],
  nowMs: number,
): ReadonlyMap<string, ReaderRegistry> =>
  new Map(
    VMS.map((vm) => {
      const readerRegistry = new ReaderRegistry(vm, 'a');
      readers
        .filter((other) => other !== vm)
        .forEach((other) => readerRegistry.receiveReports(createMessage(other), nowMs));
      return [vm, readerRegistry];
    }),
  );

const listReaders = (
  registries: ReadonlyMap<string, ReaderRegistry>,
  nowMs: number,
): readonly string[] =>
  [...registries]
    .filter(
      ([, readerRegistry]) =>
        !readerRegistry.hasEnoughReaders(TABLE, VMS.length, {
          nowMs,
          maxAgeMs: MAX_AGE_MS,
          era: 1,
        }),
    )
    .map(([vm]) => vm);

test('a few of the daemons read the feeds', () => {
  const readers = listReaders(createRegistries(VMS, 0), 10);
  assert.is(readers.length, 4);
});

// Guards against waiting for readers whose feeds went silent without a reset: changes would stay
// unknown for long.
test('readers whose reports do not advance are replaced', () => {
  const readers = listReaders(createRegistries(VMS, 0), 10);
  const registries = createRegistries(VMS, 0);
  VMS.filter((vm) => !readers.includes(vm)).forEach((vm) => {
    registries
      .get(vm)
      ?.receiveReports(createMessage(readers[0] ?? '', { sequence: 2 }), MAX_AGE_MS - 1);
  });
  assert.is(listReaders(registries, MAX_AGE_MS + 1).length, VMS.length);
});

test('a reader that lost the store is replaced at once', () => {
  const registries = createRegistries(VMS, 0);
  const [lost = ''] = listReaders(registries, 10);
  registries.forEach((readerRegistry) =>
    readerRegistry.receiveReports(createMessage(lost, { sequence: 2, news: [] }), 20),
  );
  const readers = listReaders(registries, 30).filter((vm) => vm !== lost);
  assert.is(readers.length, 4);
});

// Guards against having all readers in one data centre: if it is disconnected, a whole region hears
// nothing of the store for seconds.
test('a large fleet has two readers in two data centres', () => {
  const many = Array.from({ length: 60 }, (_, index) => `vm-${index}`);
  const getDataCentre = (vm: string): string => `dc-${many.indexOf(vm) % 3}`;
  const query = { nowMs: 10, maxAgeMs: MAX_AGE_MS, era: 1 };
  const readers = many.filter((vm) => {
    const readerRegistry = new ReaderRegistry(vm, getDataCentre(vm));
    const others = many.filter((other) => other !== vm);
    others.forEach((other) =>
      readerRegistry.receiveReports(createMessage(other, { dataCentre: getDataCentre(other) }), 0),
    );
    return !readerRegistry.hasEnoughReaders(TABLE, many.length, query);
  });
  assert.is(readers.length, 2);
  assert.is(new Set(readers.map(getDataCentre)).size, 2);
});

// Guards against relaying reports of readers that stopped together with the previous aggregator.
test('a new aggregator drops readers that do not report within the grace period', () => {
  const readerRegistry = new ReaderRegistry('vm-1', 'a');
  readerRegistry.receiveReports(createMessage('vm-2'), 0);
  readerRegistry.receiveReports(createMessage('vm-3'), 0);
  readerRegistry.receiveReports(createMessage('vm-4'), 0);
  readerRegistry.extendReaderTimeouts('vm-2', 1_400);
  const listVms = (nowMs: number) => readerRegistry.listReaders(nowMs).map(({ vm }) => vm);
  assert.equal(listVms(1_600), ['vm-3', 'vm-4']);
  readerRegistry.receiveReports(createMessage('vm-3', { sequence: 2 }), 1_900);
  assert.equal(listVms(2_200), ['vm-3']);
});

// Guards against a rejected reader that keeps asking the store three times a second for nine
// seconds. It is among the first in the reader order, so no other reader takes precedence over it.
test('a reader that lost the store relies on any other readers', () => {
  const readerRegistry = new ReaderRegistry('vm-0', 'a');
  const query = { nowMs: 10, maxAgeMs: MAX_AGE_MS, era: 1 };
  assert.not(readerRegistry.canRelyOnReaders(TABLE, 60, query));
  readerRegistry.receiveReports(createMessage('vm-1'), 0);
  readerRegistry.receiveReports(createMessage('vm-2', { dataCentre: 'b' }), 0);
  assert.not(readerRegistry.canRelyOnReaders(TABLE, VMS.length, query));
  assert.ok(readerRegistry.canRelyOnReaders(TABLE, 60, query));
  readerRegistry.receiveReports(createMessage('vm-3'), 0);
  assert.ok(readerRegistry.canRelyOnReaders(TABLE, VMS.length, query));
});

test('reader reports of an aggregator replace the known ones within their scope', () => {
  const readerRegistry = new ReaderRegistry('vm-0', 'a');
  const toReader = (vm: string, dataCentre: string, serverTimeMs = 100) => ({
    table: TABLE,
    era: 1,
    lastChange: 5,
    serverTimeMs,
    vm,
    dataCentre,
  });
  const listVms = (nowMs: number) => readerRegistry.listReaders(nowMs).map(({ vm }) => vm);
  readerRegistry.receiveReaders([toReader('vm-1', 'a'), toReader('vm-2', 'b')], 0);
  readerRegistry.receiveReaders([toReader('vm-3', 'b')], 10, 'b');
  assert.equal(listVms(20), ['vm-1', 'vm-3']);
  readerRegistry.receiveReaders([toReader('vm-0', 'a'), toReader('vm-3', 'b')], 30);
  assert.equal(listVms(40), ['vm-3']);
  const query = { nowMs: 10 + MAX_AGE_MS, maxAgeMs: MAX_AGE_MS, era: 1 };
  assert.is(readerRegistry.getLatestReport(TABLE, query), undefined);
  readerRegistry.receiveReaders([toReader('vm-3', 'b', 200)], 50);
  assert.is(readerRegistry.getLatestReport(TABLE, query)?.serverTimeMs, 200);
});

const CHANGES: TableChanges = {
  table: TABLE,
  era: 1,
  after: 5,
  upTo: 9,
  serverTimeMs: 200,
  items: [
    { key: 'u-1', value: '{}', era: 1, version: 7 },
    { key: 'u-2', era: 1, version: 9 },
  ],
};

const at = (version: number, era = 1) => ({ era, version });

test('changes that leave a gap are not returned, and repeated ones are dropped', () => {
  const readerRegistry = new ReaderRegistry('vm-0', 'a');
  readerRegistry.receiveChanges(CHANGES);
  assert.is(readerRegistry.findChanges(TABLE, at(4)), undefined);
  assert.equal(readerRegistry.findChanges(TABLE, at(6)), CHANGES);
  assert.is(readerRegistry.findChanges(TABLE, at(9)), undefined);
  assert.is(readerRegistry.findChanges(TABLE, at(5)), undefined);
});

test('changes that were relayed before are not new', () => {
  const readerRegistry = new ReaderRegistry('vm-0', 'a');
  assert.ok(readerRegistry.receiveChanges(CHANGES));
  assert.not(readerRegistry.receiveChanges(CHANGES));
  readerRegistry.publishChanges({ ...CHANGES, upTo: 12 });
  assert.not(readerRegistry.receiveChanges({ ...CHANGES, upTo: 11 }));
});

test('messages decode to what was encoded, and stray datagrams are ignored', () => {
  const bytes = encodeChanges(CHANGES) ?? Buffer.of();
  assert.equal(decodeChanges(parseDatagram(bytes)), CHANGES);
  const message = createMessage('vm-1', { loads: new Map([['u-1', { work: 12, requests: 2 }]]) });
  assert.equal(decodeLoadMessage(parseDatagram(encodeLoadMessage(message))), message);
  const report = { table: TABLE, era: 2, lastChange: 5, serverTimeMs: 100 };
  const readers = [{ ...report, vm: 'vm-3', dataCentre: 'c' }];
  const learned = {
    paces: [
      { service: 's', work: 500, tookMs: 20, answers: 3, workSquares: 90_000, workTimes: 4_000 },
    ],
    demands: [{ service: 's', model: 'm', work: 9 }],
    rollouts: [],
  };
  const news = [report];
  const scope = 'dataCentre' as const;
  const eraAge = { era: 2, ageMs: 30 };
  const sum = { ...message, scope, news, readers, members: 4, learned, eraAge };
  assert.equal(decodeLoadMessage(parseDatagram(encodeLoadMessage(sum))), sum);
  for (const stray of [null, 7, {}, [], ['x'], { changes: [1] }]) {
    assert.is(decodeChanges(stray), undefined);
    assert.is(decodeLoadMessage(stray), undefined);
  }
  assert.is(parseDatagram(bytes.subarray(0, 9)), undefined);
  const random = createRandom(1);
  const value = Array.from({ length: 40_000 }, () => random.nextInt(36).toString(36)).join('');
  const large = { ...CHANGES, items: [{ key: 'u', value, era: 1, version: 9 }] };
  assert.is(encodeChanges(large), undefined);
});

// Guards against versions of a daemon that does not know eras which pass for those of a later one.
test('messages without an era are of the era before the first', () => {
  const changes = { changes: [TABLE, 5, 9, 200, [['u-1', 7, '{}']]] };
  assert.is(decodeChanges(changes)?.era, 0);
  assert.is(decodeChanges(changes)?.items[0]?.era, 0);
  const rollout = ['s', 7, [9, 1], [9, 0], []];
  const report = [TABLE, 5, 100];
  const reader = [TABLE, 5, 100, 'vm-3', 'c'];
  const wire = ['vm-1', 'a', 1, 1, [], [report], 1, [reader], 4, [], [], [rollout]];
  const message = decodeLoadMessage(wire);
  assert.is(decodeChanges({ changes: [TABLE, 5, 9, 200, [], -1] }), undefined);
  assert.is(decodeChanges({ changes: [TABLE, 5, 9, 200, [], 1.5] }), undefined);
  assert.is(message?.news[0]?.era, 0);
  assert.is(message?.readers[0]?.era, 0);
  assert.equal(message?.learned.rollouts[0]?.orderRevision, { era: 0, version: 7 });
});

test('changes and reports of an earlier era are older than any of a later one', () => {
  const storeEra = new StoreEra();
  const readerRegistry = new ReaderRegistry('vm-0', 'a', storeEra);
  readerRegistry.receiveReports(createMessage('vm-1'), 0);
  readerRegistry.receiveChanges({ ...CHANGES, era: 2, after: 2, upTo: 4 });
  assert.is(storeEra.newest, 2);
  assert.not(readerRegistry.receiveChanges(CHANGES));
  assert.is(readerRegistry.findChanges(TABLE, at(3, 2))?.era, 2);
  assert.is(readerRegistry.findChanges(TABLE, at(6)), undefined);
  const query = { nowMs: 10, maxAgeMs: MAX_AGE_MS, era: 2 };
  assert.is(readerRegistry.getLatestReport(TABLE, query), undefined);
  assert.not(readerRegistry.canRelyOnReaders(TABLE, 60, query));
});

// Guards against loads that count for ever after their daemon was killed, or after an older
// datagram arrived late: the upstream would look permanently busy.
test('loads of a silent daemon expire, and late datagrams are ignored', () => {
  const loads = new PeerLoads();
  const receive = (sequence: number, work: number, nowMs: number, process = 1) =>
    loads.receive(
      createMessage('vm-1', {
        process,
        sequence,
        loads: new Map([['u-1', { work, requests: 1 }]]),
      }),
      nowMs,
    );
  receive(2, 500, 0);
  receive(1, 900, 10);
  assert.is(loads.get('u-1').work, 500);
  receive(1, 70, 20, 2);
  assert.is(loads.get('u-1').work, 70);
  loads.evictSilent(5_000);
  assert.equal(loads.get('u-1'), { work: 0, requests: 0 });
});

// Guards against loads that are missing in other data centres or counted twice there: each daemon
// is heard directly in its own data centre and as part of an aggregate elsewhere.
test('the sum of a data centre includes each of its daemons once and no other daemon', () => {
  const loads = new PeerLoads();
  const here = new Map([['u-1', { work: 10, requests: 1 }]]);
  loads.receive(createMessage('vm-1', { loads: here }), 0);
  loads.receive(createMessage('vm-2', { loads: here, dataCentre: 'b' }), 0);
  loads.receive(createMessage('vm-3', { loads: here, dataCentre: 'c', scope: 'dataCentre' }), 0);
  assert.equal([...loads.sumDataCentre('a', here)], [['u-1', { work: 20, requests: 2 }]]);
  assert.is(loads.get('u-1').work, 30);
  assert.equal([...loads.sumFleet(here)], [['u-1', { work: 40, requests: 4 }]]);
});

// Guards against loads that are counted twice when an aggregator receives another one's aggregate,
// or the other way round: an engine would look twice as busy as it is.
test('the sum over the fleet is never counted together with its parts', () => {
  const loads = new PeerLoads();
  const part = new Map([['u-1', { work: 10, requests: 1 }]]);
  const whole = new Map([['u-1', { work: 30, requests: 3 }]]);
  loads.receive(createMessage('vm-1', { loads: part }), 0);
  loads.receive(createMessage('c', { loads: part, dataCentre: 'c', scope: 'dataCentre' }), 0);
  loads.receive(createMessage('vm-2', { loads: whole, scope: 'fleet' }), 0);
  assert.equal(loads.get('u-1'), { work: 30, requests: 3 });
  loads.receive(createMessage('vm-1', { loads: part, sequence: 2 }), 0);
  assert.equal(loads.get('u-1'), { work: 10, requests: 1 });
});

test('loads that a daemon reported itself are subtracted from a sum, down to zero at most', () => {
  const sum = new Map([
    ['u-1', { work: 30, requests: 3 }],
    ['u-2', { work: 5, requests: 1 }],
  ]);
  const ownLoads = new Map([
    ['u-1', { work: 40, requests: 1 }],
    ['u-2', { work: 5, requests: 1 }],
  ]);
  assert.equal([...subtractLoads(sum, ownLoads)], [['u-1', { work: 0, requests: 2 }]]);
});

test('one daemon of each other data centre is picked, and none of the own data centre', () => {
  const self = { vm: 'vm-0', dataCentre: 'a', host: 'h-0', port: 1 };
  const directory = new PeerDirectory(self, createRandom(1));
  for (const [index, dataCentre] of ['a', 'b', 'b', 'c', 'c'].entries()) {
    directory.put({ vm: `vm-${index + 1}`, dataCentre, host: `h-${index + 1}`, port: 1 });
  }
  assert.equal(
    directory.pickRemotePeers().map(({ dataCentre }) => dataCentre),
    ['b', 'c'],
  );
  assert.ok(directory.isRemote('h-2'));
  assert.not(directory.isRemote('h-1'));
  assert.not(directory.isRemote('unknown'));
});

test.run();

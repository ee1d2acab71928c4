/**
 * Which of many daemons writes a roll-out's state, and which one does if the first ones are gone.
 */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createRandom, createSilentLogger } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { StoreClock, readClocks } from '../configuration/storeClock.js';
import { NO_ROLLOUT_COUNTS, type RolloutCounts } from '../peers/index.js';
import { isSameRevision, type StoreRevision } from '../store/index.js';
import { RolloutTracker } from './rolloutTracker.js';
import { RolloutKeeper } from './rolloutKeeper.js';
import type { RolloutAnswer, RolloutStatus, RolloutWriter } from './types.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('roll-out status writes', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
});

test.after.each(({ clock }) => clock.uninstall());

const DAEMONS = 195;
const PROPAGATION_MS = 500;

const at = (version: number, era = 1): StoreRevision => ({ era, version });

/** A status row written conditionally; each write reaches all daemons half a second later. */
class StatusRow {
  #revision = at(0);

  writes = 0;

  isDown = false;

  /** State as the operator reads it. */
  state: RolloutStatus['state'] | undefined;

  readonly trackers: RolloutTracker[] = [];

  createWriter(): RolloutWriter {
    return {
      writeStatus: (status, expected) => this.#write(status, expected),
      writeEvidence: () => Promise.resolve(),
    };
  }

  #write(status: RolloutStatus, expected: StoreRevision): Promise<boolean> {
    this.writes += 1;
    if (this.isDown) {
      return Promise.reject(new Error('down'));
    }
    if (!isSameRevision(expected, this.#revision)) {
      return Promise.resolve(false);
    }
    const revision = at(this.#revision.version + 1, this.#revision.era);
    this.#revision = revision;
    this.state = status.state;
    setTimeout(() => {
      this.trackers.forEach((tracker) => tracker.applyStatus(status, revision));
    }, PROPAGATION_MS);
    return Promise.resolve(true);
  }
}

const ORDER = { service: 's', toVersion: 'v2', durationMs: 20_000 };

/** A store clock without offset to the daemon's. */
const createStoreClock = (): StoreClock => {
  const clock = new StoreClock();
  clock.noteAnswer(performance.now(), performance.now());
  return clock;
};

const createTracker = (
  vm: string,
  freshness: Freshness,
  findPeerCounts = (): RolloutCounts | undefined => undefined,
  upstreamsByDataCentre: ReadonlyMap<string, number> = new Map([['a', 1]]),
): RolloutTracker =>
  new RolloutTracker({
    logger: createSilentLogger(),
    vm,
    freshness,
    clock: createStoreClock(),
    sessionTtlMs: 5_000,
    allowedExposure: 0.1,
    exposureSlack: 0,
    countSessionMove: () => {},
    findPeerCounts,
    countUpstreams: () => upstreamsByDataCentre,
    hasEvacuatedUpstreams: () => false,
  });

/** Starts daemons of these ranks, each with an order just given. */
const startPublishers = (row: StatusRow, ranks: readonly number[]): void => {
  const freshness = new Freshness();
  freshness.confirm({ asked: readClocks(), serverTimeMs: 0 });
  ranks.forEach((rank) => {
    const logger = createSilentLogger();
    const vm = `vm-${rank}`;
    const tracker = createTracker(vm, freshness);
    row.trackers.push(tracker);
    new RolloutKeeper({
      tracker,
      writer: row.createWriter(),
      vm,
      freshness,
      logger,
      random: createRandom(rank),
      getWriterRank: () => rank,
      tellBadVersion: () => {},
    }).start();
    tracker.applyOrder(ORDER, at(7), 0);
  });
};

const listRanks = (from: number): readonly number[] =>
  Array.from({ length: DAEMONS - from }, (_, index) => from + index);

const isKnown = ({ trackers }: StatusRow): boolean =>
  trackers.every((tracker) => [...tracker.rollouts].every(({ isStatusKnown }) => isStatusKnown));

// Guards against 39 daemons that write a roll-out's row at the same moment, and all 195 a
// roll-back: after an order each wrote after a wait drawn at random from five ticks.
test('only one of many daemons writes', ({ clock }) => {
  const row = new StatusRow();
  startPublishers(row, listRanks(0));
  clock.tick(3_000);
  assert.ok(isKnown(row));
  assert.is(row.writes, 1);
});

test('the next daemon writes when the first three are gone', ({ clock }) => {
  const row = new StatusRow();
  startPublishers(row, listRanks(3));
  clock.tick(3_500);
  assert.ok(isKnown(row));
  assert.is(row.writes, 1);
});

test('few daemons try to write while the store is down, and one succeeds when it is back', ({
  clock,
}) => {
  const row = new StatusRow();
  row.isDown = true;
  startPublishers(row, listRanks(0));
  clock.tick(5_000);
  assert.ok(row.writes <= 20, `${row.writes} writes`);
  row.isDown = false;
  clock.tick(3_000);
  assert.ok(isKnown(row));
});

interface StartedDaemon {
  readonly tracker: RolloutTracker;
}

interface StartDaemonOptions {
  readonly vm: string;
  readonly givenWithinMs?: number;
  readonly canWrite: boolean;
  readonly findPeerCounts?: () => RolloutCounts | undefined;
  /** Number of upstreams of the new version per data centre. */
  readonly upstreamsByDataCentre?: ReadonlyMap<string, number>;
}

/** Starts a daemon in a small fleet; with `canWrite` false the store rejects its writes. */
const startDaemon = (
  row: StatusRow,
  fleet: StartedDaemon[],
  { vm, givenWithinMs, canWrite, findPeerCounts, upstreamsByDataCentre }: StartDaemonOptions,
): StartedDaemon => {
  const freshness = new Freshness();
  const confirm = (): void => {
    freshness.confirm({ asked: readClocks(), serverTimeMs: performance.now() });
  };
  confirm();
  setInterval(confirm, PROPAGATION_MS);
  const logger = createSilentLogger();
  const tracker = createTracker(vm, freshness, findPeerCounts, upstreamsByDataCentre);
  const daemon = { tracker };
  const random = createRandom(vm.length);
  const rejectWrite = () => Promise.reject(new Error('write rejected'));
  new RolloutKeeper({
    tracker,
    writer: canWrite
      ? row.createWriter()
      : { writeStatus: rejectWrite, writeEvidence: rejectWrite },
    vm,
    freshness,
    logger,
    random,
    getWriterRank: () => undefined,
    tellBadVersion: (news) => {
      const others = fleet.filter((one) => one !== daemon);
      others[random.nextInt(Math.max(1, others.length))]?.tracker.receiveBadVersion(news);
    },
  }).start();
  tracker.applyOrder(ORDER, at(7), givenWithinMs);
  fleet.push(daemon);
  if (canWrite) {
    row.trackers.push(tracker);
  }
  return daemon;
};

const BAD_ANSWER = {
  service: 's',
  softwareVersion: 'v2',
  dataCentre: 'a',
  isFailed: true,
  workKind: 'read',
};

const recordBadAnswers = (tracker: RolloutTracker): void => {
  Array.from({ length: 5 }, () => BAD_ANSWER).forEach((answer) => tracker.recordAnswer(answer));
};

// Guards against a bad version that is completed: one daemon finds it bad while the store rejects
// its writes, and the others restart meanwhile and find the schedule over. Verdicts went only
// through the store, and a daemon that had just started took the lack of evidence for a good
// version.
test('a verdict that is not in the store reaches daemons that start later', ({ clock }) => {
  for (const restartAtMs of [19_000, 21_000]) {
    const row = new StatusRow();
    const fleet: StartedDaemon[] = [];
    const judge = startDaemon(row, fleet, { vm: 'judge', givenWithinMs: 0, canWrite: false });
    const startedAtMs = performance.now();
    const start = { afterStoreMs: startedAtMs, beforeStoreMs: startedAtMs };
    const status = { service: 's', toVersion: 'v2', orderRevision: at(7), ...start };
    clock.tick(10_000);
    recordBadAnswers(judge.tracker);
    clock.tick(restartAtMs - 10_000);
    const late = ['late-1', 'late-2'].map((vm) => startDaemon(row, fleet, { vm, canWrite: true }));
    late.forEach(({ tracker }) => tracker.applyStatus({ ...status, state: 'running' }, at(0)));
    clock.tick(8_000);
    const states = late.flatMap(({ tracker }) => [...tracker.rollouts].map(({ state }) => state));
    assert.equal(states, ['rolledBack', 'rolledBack']);
    assert.ok(row.writes > 0);
  }
});

// Guards against a roll-back that the operator never reads.
test('a version found bad before the first status is written is rolled back in the store', ({
  clock,
}) => {
  const row = new StatusRow();
  startPublishers(row, [0, 1, 2]);
  row.trackers.forEach((tracker) => recordBadAnswers(tracker));
  clock.tick(3_000);
  assert.is(row.state, 'rolledBack');
});

test('a version with hardly any requests is not completed after a store outage', ({ clock }) => {
  const row = new StatusRow();
  const freshness = new Freshness();
  const confirm = (): void => {
    freshness.confirm({ asked: readClocks(), serverTimeMs: performance.now() });
  };
  confirm();
  const tracker = createTracker('only', freshness);
  row.trackers.push(tracker);
  new RolloutKeeper({
    tracker,
    writer: row.createWriter(),
    vm: 'only',
    freshness,
    logger: createSilentLogger(),
    random: createRandom(1),
    getWriterRank: () => undefined,
    tellBadVersion: () => {},
  }).start();
  tracker.applyOrder(ORDER, at(7), 0);
  clock.tick(19_000);
  confirm();
  clock.tick(1_500);
  assert.is(row.state, 'running');
  recordBadAnswers(tracker);
  clock.tick(3_000);
  assert.is(row.state, 'rolledBack');
});

test('a version is not completed while requests find no upstream of it', ({ clock }) => {
  const row = new StatusRow();
  const fleet: StartedDaemon[] = [];
  const { tracker } = startDaemon(row, fleet, { vm: 'only', givenWithinMs: 0, canWrite: true });
  const options = { attemptId: 'a', promptTokens: 0, maxOutputTokens: 0, promptParts: [] };
  const asking = setInterval(() => tracker.filterUpstreams('s', options, []), 100);
  clock.tick(30_000);
  assert.is(row.state, 'running');
  clearInterval(asking);
  clock.tick(4_000);
  assert.is(row.state, 'completed');
});

const GOOD_ANSWER = { ...BAD_ANSWER, isFailed: false, headMs: 20 };
const OLD_ANSWER = { ...GOOD_ANSWER, softwareVersion: 'v1' };

const noteAnswers = (tracker: RolloutTracker, answer: RolloutAnswer, count: number): void => {
  Array.from({ length: count }, () => answer).forEach((one) => tracker.recordAnswer(one));
};

test('a version is not completed on too few answers while its upstreams are away', ({ clock }) => {
  const row = new StatusRow();
  const { tracker } = startDaemon(row, [], { vm: 'only', givenWithinMs: 0, canWrite: true });
  noteAnswers(tracker, OLD_ANSWER, 30);
  clock.tick(18_000);
  noteAnswers(tracker, GOOD_ANSWER, 1);
  noteAnswers(tracker, BAD_ANSWER, 1);
  clock.tick(20_000);
  assert.is(row.state, 'running');
  noteAnswers(tracker, GOOD_ANSWER, 40);
  clock.tick(2_000);
  assert.is(row.state, 'completed');
});

test('a version is not completed on the answers of a data centre with a minority of its upstreams', ({
  clock,
}) => {
  const row = new StatusRow();
  const { tracker } = startDaemon(row, [], {
    vm: 'only',
    givenWithinMs: 0,
    canWrite: true,
    upstreamsByDataCentre: new Map([
      ['a', 1],
      ['c', 4],
    ]),
  });
  noteAnswers(tracker, OLD_ANSWER, 30);
  clock.tick(18_000);
  noteAnswers(tracker, GOOD_ANSWER, 60);
  clock.tick(10_000);
  assert.is(row.state, 'running');
  noteAnswers(tracker, { ...GOOD_ANSWER, dataCentre: 'c' }, 20);
  clock.tick(2_000);
  assert.is(row.state, 'completed');
});

test('answers from before the full share do not count as proof of a version', ({ clock }) => {
  const row = new StatusRow();
  const { tracker } = startDaemon(row, [], { vm: 'only', givenWithinMs: 0, canWrite: true });
  noteAnswers(tracker, OLD_ANSWER, 30);
  noteAnswers(tracker, GOOD_ANSWER, 30);
  clock.tick(30_000);
  assert.is(row.state, 'running');
});

test('peer counts that are missing from the store contribute to a roll-back', ({ clock }) => {
  const row = new StatusRow();
  const findPeerCounts = (): RolloutCounts => ({
    ...NO_ROLLOUT_COUNTS,
    candidate: { answers: 7, bad: 2.5 },
    candidateAtFullShare: new Map([['a', { answers: 7, bad: 2.5 }]]),
  });
  const { tracker } = startDaemon(row, [], {
    vm: 'only',
    givenWithinMs: 0,
    canWrite: true,
    findPeerCounts,
  });
  noteAnswers(tracker, OLD_ANSWER, 30);
  noteAnswers(tracker, GOOD_ANSWER, 5);
  clock.tick(19_000);
  assert.is(row.state, 'running');
  noteAnswers(tracker, BAD_ANSWER, 1);
  clock.tick(2_000);
  assert.is(row.state, 'rolledBack');
});

test('a good version is completed by daemons that started before its end', ({ clock }) => {
  const row = new StatusRow();
  const fleet: StartedDaemon[] = [];
  startDaemon(row, fleet, { vm: 'only', givenWithinMs: 0, canWrite: true });
  clock.tick(30_000);
  const states = fleet.flatMap(({ tracker }) => [...tracker.rollouts].map(({ state }) => state));
  assert.equal(states, ['completed']);
});

// Guards against a good roll-out that is completed a moment after its time: the store's history is
// gone when the order is given, so that the order is found two seconds later by reading the table,
// and the duration was counted from then.
test('an order that is found late is still completed on schedule', ({ clock }) => {
  const row = new StatusRow();
  startDaemon(row, [], { vm: 'only', givenWithinMs: 2_000, canWrite: true });
  clock.tick(18_000);
  assert.is(row.state, 'completed');
});

test.run();

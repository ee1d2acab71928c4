/**
 * Which daemon writes the row of a held request, and the effect of rows that are added or removed.
 */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, createRandom, createSilentLogger, type RequestDigest } from '@snipehaven/common';
import { HOLD_MS } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreUnavailableError } from '../errors.js';
import { EMPTY_CRASH_MESSAGE, type CrashMessage } from '../peers/index.js';
import type { StoreRevision } from '../store/index.js';
import type { Upstream } from '../types.js';
import { CrashTracker } from './crashTracker.js';
import { HoldPersister } from './holdPersister.js';
import type { HoldRecord } from './types.js';

interface WrittenHold {
  readonly hold: HoldRecord;
  readonly expected: StoreRevision;
}

interface Context {
  clock: Clock;
  tracker: CrashTracker;
  holdPersister: HoldPersister;
  written: WrittenHold[];
  removed: RequestDigest[];
  isStoreDown: boolean;
  eraLateMs: number;
  rank: number | undefined;
}

const test = suite<Context>('hold persister', {} as Context);

const OFFSET_MS = 50_000;

const at = (version: number, era = 1): StoreRevision => ({ era, version });

const A = asId<RequestDigest>('a');

test.before.each((context) => {
  const logger = createSilentLogger();
  const fresh = { written: [], removed: [], isStoreDown: false, eraLateMs: 0, rank: undefined };
  Object.assign(context, fresh, { clock: FakeTimers.install() });
  context.tracker = new CrashTracker({
    logger,
    random: createRandom(1),
    listInFlight: () => [],
    broadcast: () => {},
  });
  const answer = <Value>(value: Value): Promise<Value> =>
    context.isStoreDown
      ? Promise.reject(new StoreUnavailableError('down'))
      : Promise.resolve(value);
  context.holdPersister = new HoldPersister({
    tracker: context.tracker,
    vm: 'vm-1',
    logger,
    random: createRandom(1),
    getStoreOffsetMs: () => OFFSET_MS,
    getWriterRank: () => context.rank,
    getEraLateMs: () => context.eraLateMs,
    writer: {
      write: (hold, expected) => {
        context.written.push({ hold, expected });
        return answer(true);
      },
      remove: (digest) => {
        context.removed.push(digest);
        return answer(undefined);
      },
    },
  });
});

test.after.each(({ clock, holdPersister }) => {
  holdPersister.stop();
  clock.uninstall();
});

const LIVES = ['u-1', 'u-2', 'u-3'];

const reportEnds = (lives: readonly string[]): CrashMessage => ({
  ...EMPTY_CRASH_MESSAGE,
  ends: lives.map((lifeId) => ({
    lifeId,
    suspects: [{ digest: A, attemptId: `at ${lifeId}`, suspicion: 'strong' }],
  })),
});

const observeEnds = (tracker: CrashTracker): void => {
  LIVES.forEach((lifeId) => {
    const one = {
      attemptId: `at ${lifeId}`,
      digest: A,
      partDigests: [],
      sentAtMs: 0,
      beganAtMs: undefined,
    };
    const lost = [{ ...one, onHeld: () => {}, onPathLost: () => {} }];
    tracker.recordExit({ upstream: { id: lifeId } as Upstream, lifeId, isExpected: false, lost });
  });
};

const recordUntil = (untilMs: number): HoldRecord => ({
  digest: A,
  lives: LIVES,
  vm: 'vm-2',
  sinceStoreMs: OFFSET_MS,
  untilStoreMs: OFFSET_MS + untilMs,
});

test('the daemon that observed the decisive end writes at once, with times of the store’s clock', async ({
  tracker,
  clock,
  written,
}) => {
  await clock.tickAsync(1_000);
  observeEnds(tracker);
  await clock.tickAsync(1);
  assert.is(written.length, 1);
  assert.is(written[0]?.expected.version, 0);
  assert.equal(written[0]?.hold.lives, LIVES);
  assert.is(written[0]?.hold.sinceStoreMs, OFFSET_MS + 1_000);
  assert.is(written[0]?.hold.untilStoreMs, OFFSET_MS + 1_000 + HOLD_MS);
});

// Guards against leaving the write to the daemon that observed the third crash: it may be killed
// after reporting the crash to the others and before it writes, and all daemons may then lose power.
test('other daemons write in their turn unless the row exists by then', async (context) => {
  const { tracker, holdPersister, clock, written } = context;
  context.rank = 2;
  tracker.receiveReport(reportEnds(LIVES));
  await clock.tickAsync(2_000);
  assert.is(written.length, 0);
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7), OFFSET_MS);
  await clock.tickAsync(10_000);
  assert.is(written.length, 0);
  context.rank = 0;
  tracker.applyStoredRelease(A);
  holdPersister.applyRemoval(A);
  tracker.receiveReport(reportEnds(['u-4', 'u-5', 'u-6']));
  await clock.tickAsync(1_000);
  assert.is(written.length, 1);
});

test('a failed write is retried until the row exists', async (context) => {
  const { tracker, clock, written } = context;
  context.isStoreDown = true;
  observeEnds(tracker);
  await clock.tickAsync(20_000);
  const tries = written.length;
  assert.ok(tries >= 3 && tries <= 10, `${tries} tries`);
  context.isStoreDown = false;
  await clock.tickAsync(10_000);
  assert.is(written.length, tries + 1);
});

test('an expired row is overwritten, and one that has not expired is applied', async (context) => {
  const { tracker, holdPersister, clock, written } = context;
  holdPersister.applyRecord(recordUntil(-1), at(7), OFFSET_MS);
  assert.is(tracker.findHold(A), undefined);
  observeEnds(tracker);
  await clock.tickAsync(1);
  assert.equal(written[0]?.expected, at(7));
  tracker.applyStoredRelease(A);
  holdPersister.applyRecord(recordUntil(5_000), at(8), OFFSET_MS);
  assert.equal(tracker.findHold(A)?.lives, LIVES);
  await clock.tickAsync(5_000);
  assert.is(tracker.findHold(A), undefined);
});

test('a removed row releases the request, whether seen in a feed or a complete table', ({
  tracker,
  holdPersister,
}) => {
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7), OFFSET_MS);
  holdPersister.applyRemoval(A);
  assert.is(tracker.findHold(A), undefined);
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(9), OFFSET_MS);
  holdPersister.retainOnly([A], 1);
  assert.ok(tracker.findHold(A));
  holdPersister.retainOnly([], 1);
  assert.is(tracker.findHold(A), undefined);
});

test('the row is removed by the daemon that observed the answer, or by its writer on expiry', async (context) => {
  const { tracker, holdPersister, clock, removed } = context;
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7), OFFSET_MS);
  tracker.receiveReport({ ...EMPTY_CRASH_MESSAGE, answered: [{ digest: A, beganAgoMs: 0 }] });
  await clock.tickAsync(1);
  assert.equal(removed, [], 'observed by another daemon');
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(8), OFFSET_MS);
  tracker.recordSuccess({ suspects: [A], beganAtMs: performance.now() });
  await clock.tickAsync(1);
  assert.equal(removed, [A]);
  holdPersister.applyRemoval(A);
  observeEnds(tracker);
  await clock.tickAsync(1);
  holdPersister.applyRecord({ ...recordUntil(HOLD_MS), vm: 'vm-1' }, at(9), OFFSET_MS);
  await clock.tickAsync(HOLD_MS);
  assert.equal(removed, [A, A]);
});

// Guards against a crashing request that is sent again because the copy lacks its row.
test('a hold that a copy lacks stays and is written again', async ({
  tracker,
  holdPersister,
  clock,
  written,
}) => {
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7), OFFSET_MS);
  holdPersister.startEra([], 2);
  holdPersister.retainOnly([], 2);
  assert.is(tracker.findHold(A)?.digest, A);
  await clock.tickAsync(4_000);
  assert.equal(
    written.map(({ expected }) => expected),
    [at(0, 2)],
  );
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(3, 2), OFFSET_MS);
  holdPersister.retainOnly([], 2);
  assert.is(tracker.findHold(A), undefined);
});

// Guards against an answered request that is held back again by a daemon that was cut off meanwhile.
test('a hold that is missing when a return is learned of late was removed', async (context) => {
  const { tracker, holdPersister, clock, written } = context;
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7), OFFSET_MS);
  holdPersister.startEra([], 2);
  holdPersister.retainOnly([], 2);
  context.eraLateMs = 30_000;
  await clock.tickAsync(4_000);
  assert.is(tracker.findHold(A), undefined);
  assert.is(written.length, 0);
});

test('a hold that another daemon has written again is not written once more', async ({
  holdPersister,
  clock,
  written,
}) => {
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7), OFFSET_MS);
  holdPersister.startEra([], 2);
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(3, 2), OFFSET_MS);
  await clock.tickAsync(10_000);
  assert.is(written.length, 0);
});

/** The store comes back from a copy that still has a row that was removed. */
const restoreRemovedRow = (holdPersister: HoldPersister): void => {
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7), OFFSET_MS);
  holdPersister.applyRemoval(A);
  holdPersister.startEra([A], 2);
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(7, 2), OFFSET_MS);
};

// Guards against an answered request that is held back because the copy still has its row.
test('a hold of the copy that was released before is removed again', async ({
  tracker,
  holdPersister,
  clock,
  removed,
}) => {
  restoreRemovedRow(holdPersister);
  assert.is(tracker.findHold(A), undefined);
  await clock.tickAsync(4_000);
  assert.equal(removed, [A]);
  holdPersister.applyRemoval(A);
  holdPersister.applyRecord(recordUntil(HOLD_MS), at(8, 2), OFFSET_MS);
  assert.is(tracker.findHold(A)?.digest, A);
});

// Guards against a new hold that ends with the removal of an older row of the copy.
test('a row of the copy is not removed when the request is held again', async ({
  tracker,
  holdPersister,
  clock,
  removed,
}) => {
  restoreRemovedRow(holdPersister);
  observeEnds(tracker);
  await clock.tickAsync(4_000);
  assert.equal(removed, []);
  assert.is(tracker.findHold(A)?.digest, A);
});

test.run();

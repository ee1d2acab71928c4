/** Who writes the row of a request that is held back, and what a row that comes or goes does. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, createRandom, createSilentLogger, type RequestDigest } from '@snipehaven/common';
import { HOLD_MS } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreUnavailableError } from '../errors.js';
import { EMPTY_CRASH_REPORT, type CrashReport } from '../peers/index.js';
import type { Upstream } from '../types.js';
import { CrashBook } from './crashBook.js';
import { HoldKeeper } from './holdKeeper.js';
import type { HoldRecord } from './types.js';

interface Written {
  readonly hold: HoldRecord;
  readonly expectedVersion: number;
}

interface Context {
  clock: Clock;
  book: CrashBook;
  keeper: HoldKeeper;
  written: Written[];
  removed: RequestDigest[];
  isStoreDown: boolean;
  rank: number | undefined;
}

const test = suite<Context>('hold keeper', {} as Context);

const OFFSET_MS = 50_000;
const A = asId<RequestDigest>('a');

test.before.each((context) => {
  const logger = createSilentLogger();
  const fresh = { written: [], removed: [], isStoreDown: false, rank: undefined };
  Object.assign(context, fresh, { clock: FakeTimers.install() });
  context.book = new CrashBook({ logger, random: createRandom(1), tell: () => {} });
  const answer = <Value>(value: Value): Promise<Value> =>
    context.isStoreDown
      ? Promise.reject(new StoreUnavailableError('down'))
      : Promise.resolve(value);
  context.keeper = new HoldKeeper({
    book: context.book,
    vm: 'vm-1',
    logger,
    random: createRandom(1),
    getStoreOffsetMs: () => OFFSET_MS,
    getWriterRank: () => context.rank,
    writer: {
      write: (hold, expectedVersion) => {
        context.written.push({ hold, expectedVersion });
        return answer(true);
      },
      remove: (digest) => {
        context.removed.push(digest);
        return answer(undefined);
      },
    },
  });
});

test.after.each(({ clock, keeper }) => {
  keeper.stop();
  clock.uninstall();
});

const LIVES = ['u-1', 'u-2', 'u-3'];

const reportEnds = (lives: readonly string[]): CrashReport => ({
  ...EMPTY_CRASH_REPORT,
  ends: lives.map((lifeId) => ({
    lifeId,
    suspects: [{ digest: A, attemptId: `at ${lifeId}`, suspicion: 'strong' }],
  })),
});

const seeEnds = (book: CrashBook): void => {
  LIVES.forEach((lifeId) => {
    const one = { attemptId: `at ${lifeId}`, digest: A, sentAtMs: 0, beganAtMs: undefined };
    const lost = [{ ...one, onHeld: () => {} }];
    book.noteEnd({ upstream: { id: lifeId } as Upstream, lifeId, isExpected: false, lost });
  });
};

const recordUntil = (untilMs: number): HoldRecord => ({
  digest: A,
  lives: LIVES,
  vm: 'vm-2',
  sinceStoreMs: OFFSET_MS,
  untilStoreMs: OFFSET_MS + untilMs,
});

test('whoever saw the deciding end writes at once, by the clock of the store', async ({
  book,
  clock,
  written,
}) => {
  await clock.tickAsync(1_000);
  seeEnds(book);
  await clock.tickAsync(1);
  assert.is(written.length, 1);
  assert.is(written[0]?.expectedVersion, 0);
  assert.equal(written[0]?.hold.lives, LIVES);
  assert.is(written[0]?.hold.sinceStoreMs, OFFSET_MS + 1_000);
  assert.is(written[0]?.hold.untilStoreMs, OFFSET_MS + 1_000 + HOLD_MS);
});

// Symptom: the row is missing after all daemons lost power. Sequence: the daemon that saw the third end tells
// the others and is killed before it writes. Cause: the others left the writing to it.
test('the others write in their turn unless the row has come', async (context) => {
  const { book, keeper, clock, written } = context;
  context.rank = 2;
  book.takeNews(reportEnds(LIVES));
  await clock.tickAsync(2_000);
  assert.is(written.length, 0);
  keeper.takeRecord(recordUntil(HOLD_MS), 7, OFFSET_MS);
  await clock.tickAsync(10_000);
  assert.is(written.length, 0);
  context.rank = 0;
  book.takeRelease(A);
  keeper.takeRemoval(A);
  book.takeNews(reportEnds(['u-4', 'u-5', 'u-6']));
  await clock.tickAsync(1_000);
  assert.is(written.length, 1);
});

test('a store that is away is asked again until the row is there', async (context) => {
  const { book, clock, written } = context;
  context.isStoreDown = true;
  seeEnds(book);
  await clock.tickAsync(20_000);
  const tries = written.length;
  assert.ok(tries >= 3 && tries <= 10, `${tries} tries`);
  context.isStoreDown = false;
  await clock.tickAsync(10_000);
  assert.is(written.length, tries + 1);
});

test('a row that has lapsed is written over, and one that has not is taken', async (context) => {
  const { book, keeper, clock, written } = context;
  keeper.takeRecord(recordUntil(-1), 7, OFFSET_MS);
  assert.is(book.findHold(A), undefined);
  seeEnds(book);
  await clock.tickAsync(1);
  assert.is(written[0]?.expectedVersion, 7);
  book.takeRelease(A);
  keeper.takeRecord(recordUntil(5_000), 8, OFFSET_MS);
  assert.equal(book.findHold(A)?.lives, LIVES);
  await clock.tickAsync(5_000);
  assert.is(book.findHold(A), undefined);
});

test('a row that was removed lets the request go, told by a feed or by a whole table', ({
  book,
  keeper,
}) => {
  keeper.takeRecord(recordUntil(HOLD_MS), 7, OFFSET_MS);
  keeper.takeRemoval(A);
  assert.is(book.findHold(A), undefined);
  keeper.takeRecord(recordUntil(HOLD_MS), 9, OFFSET_MS);
  keeper.keepOnly([A]);
  assert.ok(book.findHold(A));
  keeper.keepOnly([]);
  assert.is(book.findHold(A), undefined);
});

test('the daemon that saw it answered removes the row; the one that wrote it does when it lapses', async (context) => {
  const { book, keeper, clock, removed } = context;
  keeper.takeRecord(recordUntil(HOLD_MS), 7, OFFSET_MS);
  book.takeNews({ ...EMPTY_CRASH_REPORT, cleared: [A] });
  await clock.tickAsync(1);
  assert.equal(removed, [], 'another daemon saw it');
  keeper.takeRecord(recordUntil(HOLD_MS), 8, OFFSET_MS);
  book.noteAnswered(A);
  await clock.tickAsync(1);
  assert.equal(removed, [A]);
  keeper.takeRemoval(A);
  seeEnds(book);
  await clock.tickAsync(1);
  keeper.takeRecord({ ...recordUntil(HOLD_MS), vm: 'vm-1' }, 9, OFFSET_MS);
  await clock.tickAsync(HOLD_MS);
  assert.equal(removed, [A, A]);
});

test.run();

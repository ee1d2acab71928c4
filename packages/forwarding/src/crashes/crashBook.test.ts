/** What is held back for upstreams that ended, by what daemons tell each other. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, createSilentLogger, type RequestDigest } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { NO_CRASH_NEWS, type CrashNews } from '../peers/index.js';
import type { Upstream } from '../types.js';
import type { SentRequest, UpstreamEnd } from '../upstreams/index.js';
import { CrashBook } from './crashBook.js';
import { HOLD_MS, MAX_HELD } from './constants.js';

interface Context {
  clock: Clock;
  told: CrashNews[];
  book: CrashBook;
}

const test = suite<Context>('crash book', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install();
  context.told = [];
  const tell = (news: CrashNews) => context.told.push(news);
  context.book = new CrashBook({ logger: createSilentLogger(), tell });
});

test.after.each(({ clock }) => clock.uninstall());

const A = asId<RequestDigest>('a');
const B = asId<RequestDigest>('b');

const send = (digest: RequestDigest, beganAtMs?: number): SentRequest => ({
  attemptId: 'one',
  digest,
  sentAtMs: 0,
  beganAtMs,
  onHeld: () => {},
});

const endOf = (lifeId: string, lost: readonly SentRequest[], isExpected = false): UpstreamEnd => ({
  upstream: { id: lifeId } as Upstream,
  lifeId,
  isExpected,
  lost,
});

const reportEnds = (digest: RequestDigest, ...lives: readonly string[]): CrashNews => ({
  ...NO_CRASH_NEWS,
  ends: lives.map((lifeId) => ({ lifeId, suspects: [{ digest, suspicion: 'strong' }] })),
});

test('counts its own ends and those of others together, and tells its own', ({ book, told }) => {
  book.noteEnd(endOf('u-1', [send(A), send(B)]));
  book.takeNews(reportEnds(A, 'u-1', 'u-2'));
  assert.is(book.findHold(A), undefined);
  book.noteEnd(endOf('u-3', [send(A)]));
  assert.equal(book.findHold(A)?.lives, ['u-1', 'u-2', 'u-3']);
  assert.is(book.findHold(B), undefined);
  assert.equal(
    told.map(({ ends }) => ends.map(({ lifeId, suspects }) => [lifeId, suspects.length])),
    [[['u-1', 2]], [['u-3', 1]]],
  );
});

test('lets a request go when it is answered, lapses, or its upstreams live', ({ book, clock }) => {
  book.takeNews(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  book.takeNews({ ...NO_CRASH_NEWS, cleared: [A] });
  assert.is(book.findHold(A), undefined);
  book.takeNews(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  book.takeNews({ ...NO_CRASH_NEWS, alive: ['u-2'] });
  assert.is(book.findHold(A), undefined);
  book.takeNews(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  clock.tick(HOLD_MS - 1);
  assert.ok(book.findHold(A));
  clock.tick(1);
  assert.is(book.findHold(A), undefined);
});

// Symptom: lookups that everybody makes are refused while one upstream flaps. Sequence: the same lookup is
// lost three times in some minutes, at three lives of the upstream, and answered hundreds of times between.
// Cause: only what speaks against a request was counted.
test('what was answered in between speaks for a request, and is told', ({ book, told, clock }) => {
  ['u-1', 'u-2', 'u-3', 'u-4'].forEach((life) => {
    book.noteEnd(endOf(life, [send(A)]));
    book.noteAnswered(A);
    clock.tick(1_000);
  });
  assert.is(book.findHold(A), undefined);
  assert.is(told.filter(({ cleared }) => cleared.includes(A)).length, 4);
  assert.ok(book.isEmpty);
});

test('an answer of which nothing is known is not told', ({ book, told, clock }) => {
  book.noteAnswered(A);
  clock.tick(1_000);
  assert.equal(told, []);
});

test('requests that ran for long, or whose upstream was leaving, are blamed half', ({
  book,
  clock,
}) => {
  clock.tick(5_000);
  ['u-1', 'u-2', 'u-3'].forEach((life) => {
    book.noteEnd(endOf(life, [send(A, 100), send(B)], life === 'u-3'));
  });
  assert.is(book.getWeight(A), 1.5);
  assert.is(book.getWeight(B), 2.5);
});

test('what is held back is bounded: the oldest is let go', ({ book }) => {
  for (let index = 0; index <= MAX_HELD; index += 1) {
    book.takeNews(reportEnds(asId<RequestDigest>(`d-${index}`), 'u-1', 'u-2', 'u-3'));
  }
  assert.is(book.heldCount, MAX_HELD);
  assert.is(book.findHold(asId<RequestDigest>('d-0')), undefined);
  assert.ok(book.findHold(asId<RequestDigest>(`d-${MAX_HELD}`)));
});

test.run();

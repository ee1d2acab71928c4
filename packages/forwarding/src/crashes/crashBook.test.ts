/** What is held back for upstreams that ended, by what daemons tell each other. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, createRandom, createSilentLogger, type RequestDigest } from '@snipehaven/common';
import { HOLD_MS } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { EMPTY_CRASH_REPORT, type CrashReport } from '../peers/index.js';
import type { Upstream } from '../types.js';
import type { SentRequest, UpstreamEnd } from '../upstreams/index.js';
import { CrashBook } from './crashBook.js';
import { ANSWERED_FOR_MS, MAX_HELD } from './constants.js';

interface Context {
  clock: Clock;
  told: CrashReport[];
  book: CrashBook;
}

const test = suite<Context>('crash book', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install();
  context.told = [];
  const tell = (news: CrashReport) => context.told.push(news);
  context.book = new CrashBook({ logger: createSilentLogger(), random: createRandom(1), tell });
});

test.after.each(({ clock }) => clock.uninstall());

let attempts = 0;

const A = asId<RequestDigest>('a');
const B = asId<RequestDigest>('b');

const nameAttempt = (): string => {
  attempts += 1;
  return `attempt ${attempts}`;
};

const send = (digest: RequestDigest, beganAtMs?: number): SentRequest => ({
  attemptId: nameAttempt(),
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

const reportEnds = (digest: RequestDigest, ...lives: readonly string[]): CrashReport => ({
  ...EMPTY_CRASH_REPORT,
  ends: lives.map((lifeId) => ({
    lifeId,
    suspects: [{ digest, attemptId: `at ${lifeId}`, suspicion: 'strong' }],
  })),
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
  book.takeNews({ ...EMPTY_CRASH_REPORT, cleared: [A] });
  assert.is(book.findHold(A), undefined);
  book.takeNews(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  assert.is(book.findHold(A), undefined, 'told again after the answer');
  book.takeNews(reportEnds(A, 'u-4', 'u-5', 'u-6'));
  book.takeNews({ ...EMPTY_CRASH_REPORT, alive: ['u-5'] });
  assert.is(book.findHold(A), undefined);
  book.takeNews(reportEnds(A, 'u-7', 'u-8', 'u-9'));
  clock.tick(HOLD_MS - 1);
  assert.ok(book.findHold(A));
  clock.tick(1);
  assert.is(book.findHold(A), undefined);
});

// Symptom: a lookup that is made now and then is refused. Sequence: it is lost four times in some minutes,
// at four lives of an upstream that flaps, and answered each time after. Cause: only what speaks against a
// request was counted.
test('what was answered in between speaks for a request, and is told', ({ book, told, clock }) => {
  ['u-1', 'u-2', 'u-3', 'u-4'].forEach((life) => {
    book.noteEnd(endOf(life, [send(A)]));
    book.noteAnswered(A);
    clock.tick(ANSWERED_FOR_MS);
  });
  assert.is(book.findHold(A), undefined);
  assert.is(told.filter(({ cleared }) => cleared.includes(A)).length, 4);
  assert.ok(book.isEmpty);
});

// Symptom: a question that everybody asks is refused for minutes. Sequence: two deadly requests end six
// upstreams in two seconds, the question on each of them; it was answered a hundred times in the minute
// before. Cause: nothing spoke for it between the ends.
test('what was answered shortly before is not blamed, and spoken for where it is held', ({
  book,
  told,
  clock,
}) => {
  clock.tick(1_000);
  book.noteAnswered(A);
  ['u-1', 'u-2', 'u-3'].forEach((life) => book.noteEnd(endOf(life, [send(A), send(B)])));
  assert.is(book.findHold(A), undefined);
  assert.ok(book.findHold(B));
  book.takeNews(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  assert.ok(book.findHold(A), 'others hold it back');
  clock.tick(1_000);
  assert.is(book.findHold(A), undefined);
  assert.is(told.filter(({ cleared }) => cleared.includes(A)).length, 1);
  assert.ok(book.findHold(B));
});

test('an answer speaks for a request for a while', ({ book, clock }) => {
  book.noteAnswered(A);
  clock.tick(ANSWERED_FOR_MS);
  ['u-1', 'u-2', 'u-3'].forEach((life) => book.noteEnd(endOf(life, [send(A)])));
  assert.ok(book.findHold(A));
});

// Symptom: a request is held back though daemons know better. Sequence: all of them object at once and flood
// each other. Cause: each speaks without listening.
test('who hears that a request is cleared does not say it again', ({ book, told, clock }) => {
  book.noteAnswered(A);
  book.takeNews(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  book.takeNews({ ...EMPTY_CRASH_REPORT, cleared: [A] });
  clock.tick(1_000);
  assert.equal(told, []);
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

/** Counting, attribution and expiry of upstream crashes by request. */
import { asId, type RequestDigest } from '@snipehaven/common';
import fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { CrashCounter, CRASH_EXPIRY_MS, judgeSuspicion } from './index.js';
import type { CrashReport, Suspicion } from './types.js';

const test = suite('crash counter');

const A = asId<RequestDigest>('a');
const B = asId<RequestDigest>('b');

/** Each crash belongs to a different attempt unless one is given. */
const reportEnd = (
  lifeId: string,
  digests: readonly RequestDigest[],
  suspicion: Suspicion = 'strong',
  attemptId = `attempt at ${lifeId}`,
): CrashReport => ({
  lifeId,
  suspects: digests.map((digest) => ({ digest, attemptId, suspicion })),
});

test('the third crash under a request reaches the threshold, whichever daemon reports it', () => {
  const counter = new CrashCounter();
  assert.equal(counter.recordReport(reportEnd('u-1', [A, B]), 0), []);
  assert.equal(counter.recordReport(reportEnd('u-2', [A]), 10), []);
  assert.equal(counter.recordReport(reportEnd('u-2', [A]), 11), [], 'reported by another daemon');
  assert.equal(counter.recordReport(reportEnd('u-3', [A, B]), 20), [A]);
  assert.equal(counter.listCrashedIncarnations(A), ['u-1', 'u-2', 'u-3']);
  assert.is(counter.getWeight(B), 2);
});

// Guards against refusing ordinary requests of a service that has recovered. This happens when
// upstreams crash independently of the request one after the other: a request loses all three
// attempts that its route allows and its caller retries. Hence a single attempt needs a fourth
// crash.
test('a single attempt needs a fourth crash', () => {
  const counter = new CrashCounter();
  const report = (incarnationId: string) =>
    reportEnd(incarnationId, [A], 'strong', 'the only attempt');
  assert.equal(
    ['u-1', 'u-2', 'u-3'].map(
      (incarnationId) => counter.recordReport(report(incarnationId), 0).length,
    ),
    [0, 0, 0],
  );
  assert.not(counter.hasReachedThreshold(A));
  assert.equal(counter.recordReport(report('u-4'), 0), [A]);
  const again = new CrashCounter();
  ['u-1', 'u-2', 'u-3'].forEach((incarnationId) => again.recordReport(report(incarnationId), 0));
  again.recordReport(reportEnd('u-3', [A], 'strong', 'another attempt'), 0);
  assert.ok(again.hasReachedThreshold(A), 'a second attempt was involved in the third crash too');
});

test('the order and number of reports do not matter', () => {
  const reports = ['u-1', 'u-2', 'u-3', 'u-4'].flatMap((incarnationId) => [
    reportEnd(incarnationId, [A, B]),
    reportEnd(incarnationId, [A], 'weak'),
  ]);
  const expected = new CrashCounter();
  reports.forEach((report) => expected.recordReport(report, 0));
  const shuffles = fc.shuffledSubarray([...reports, ...reports], {
    minLength: reports.length * 2,
  });
  fc.assert(
    fc.property(shuffles, (shuffled) => {
      const counter = new CrashCounter();
      shuffled.forEach((report) => counter.recordReport(report, 0));
      assert.is(counter.getWeight(A), expected.getWeight(A));
      assert.is(counter.getWeight(B), expected.getWeight(B));
    }),
    { seed: 5, numRuns: 50 },
  );
});

test('a crash counts half for a request with a long-running answer or an upstream that was leaving', () => {
  assert.is(judgeSuspicion({ answeredForMs: undefined, isEndExpected: false }), 'strong');
  assert.is(judgeSuspicion({ answeredForMs: 200, isEndExpected: false }), 'strong');
  assert.is(judgeSuspicion({ answeredForMs: 1_500, isEndExpected: false }), 'weak');
  assert.is(judgeSuspicion({ answeredForMs: undefined, isEndExpected: true }), 'weak');
  const counter = new CrashCounter();
  const instanceIds = ['u-1', 'u-2', 'u-3', 'u-4', 'u-5', 'u-6'];
  const reached = instanceIds.map(
    (incarnationId) => counter.recordReport(reportEnd(incarnationId, [A], 'weak'), 0).length,
  );
  assert.equal(reached, [0, 0, 0, 0, 0, 1]);
});

test('a complete answer clears a request, and a crash is withdrawn when the upstream turns out alive', () => {
  const counter = new CrashCounter();
  counter.recordReport(reportEnd('u-1', [A, B]), 0);
  counter.recordReport(reportEnd('u-2', [B]), 0);
  assert.ok(counter.clear(A));
  assert.not(counter.clear(A));
  counter.withdraw('u-1');
  assert.equal(counter.listCrashedIncarnations(B), ['u-2']);
  counter.withdraw('u-2');
  assert.is(counter.size, 0);
});

// Guards against holding a request that was just answered. This happens when a crash is reported
// twice, the request is answered elsewhere between the two reports, and the second report counts as
// another crash.
test('a crash that is reported again after the answer does not count', () => {
  const counter = new CrashCounter();
  counter.recordReport(reportEnd('u-1', [A]), 0);
  counter.clear(A);
  counter.recordReport(reportEnd('u-1', [A]), 1);
  assert.is(counter.getWeight(A), 0);
  assert.ok(counter.hasRecorded(A, 'u-1'));
  counter.recordReport(reportEnd('u-2', [A]), 2);
  assert.is(counter.getWeight(A), 1);
});

// Guards against releasing a crashing part for another one that later crashes made more suspect.
test('later crashes of another suspect do not explain those of a held one', () => {
  const counter = new CrashCounter();
  ['u-1', 'u-2', 'u-3'].forEach((lifeId) => counter.recordReport(reportEnd(lifeId, [A]), 0));
  counter.recordReport(reportEnd('u-3', [B]), 0);
  counter.explain(['u-1', 'u-2', 'u-3'], A, 1);
  ['u-4', 'u-5', 'u-6'].forEach((lifeId) => counter.recordReport(reportEnd(lifeId, [B]), 2));
  counter.explain(['u-1', 'u-2', 'u-3', 'u-4', 'u-5', 'u-6'], B, 3);
  assert.not(counter.isExplained(A));
});

// Guards against keeping a suspect that was held by chance beside the cause.
test('a suspect with more crashes by then explains those of a held one', () => {
  const counter = new CrashCounter();
  ['u-1', 'u-2', 'u-3'].forEach((lifeId) => counter.recordReport(reportEnd(lifeId, [A, B]), 0));
  counter.recordReport(reportEnd('u-4', [B]), 0);
  counter.explain(['u-1', 'u-2', 'u-3'], A, 1);
  counter.explain(['u-1', 'u-2', 'u-3', 'u-4'], B, 2);
  assert.ok(counter.isExplained(A));
  assert.not(counter.isExplained(B));
});

test('a suspect is outweighed by one that is under all of its crashes and more', () => {
  const counter = new CrashCounter();
  counter.recordReport(reportEnd('u-1', [A, B]), 0);
  assert.not(counter.isOutweighed(A, () => true));
  counter.recordReport(reportEnd('u-2', [B]), 0);
  assert.ok(counter.isOutweighed(A, () => true));
  assert.not(counter.isOutweighed(A, () => false));
  counter.recordReport(reportEnd('u-3', [A]), 0);
  assert.not(counter.isOutweighed(A, () => true));
});

// Guards against taking a rack for crashes one after the other, where older daemons do not tell the times.
test('crashes under requests whose times are not told do not follow one another', () => {
  const counter = new CrashCounter();
  ['u-1', 'u-2', 'u-3', 'u-4'].forEach((lifeId, index) =>
    counter.recordReport(reportEnd(lifeId, [A]), index),
  );
  assert.is(counter.getSuccessiveWeight(A), 1);
});

test('crashes expire', () => {
  const counter = new CrashCounter();
  counter.recordReport(reportEnd('u-1', [A]), 0);
  counter.recordReport(reportEnd('u-2', [A]), CRASH_EXPIRY_MS);
  assert.is(counter.getWeight(A), 2);
  counter.recordReport(reportEnd('u-3', [B]), CRASH_EXPIRY_MS + 1);
  assert.equal(counter.listCrashedIncarnations(A), ['u-2']);
});

// Guards against never holding a request that crashes upstreams while other crashes happen under
// load. This happens when thousands of requests are lost once each, the tracked requests reach
// their maximum, and the oldest ones are evicted: among them the request that keeps coming back.
test('many requests with one crash each do not evict a request with more crashes', () => {
  const counter = new CrashCounter();
  counter.recordReport(reportEnd('u-1', [A]), 0);
  counter.recordReport(reportEnd('u-2', [A]), 0);
  for (let index = 0; index < 5_000; index += 1) {
    counter.recordReport(reportEnd(`f-${index}`, [asId<RequestDigest>(`d-${index}`)]), 1);
  }
  assert.is(counter.getWeight(A), 2);
  assert.ok(counter.size < 5_000);
});

test.run();

/** How blame for ended upstreams is counted, told apart and forgotten. */
import { asId, type RequestDigest } from '@snipehaven/common';
import fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { CrashLedger, FORGET_AFTER_MS, judgeSuspicion } from './index.js';
import type { EndReport, Suspicion } from './types.js';

const test = suite('crash ledger');

const A = asId<RequestDigest>('a');
const B = asId<RequestDigest>('b');

/** Each end under another attempt, unless one is named. */
const reportEnd = (
  lifeId: string,
  digests: readonly RequestDigest[],
  suspicion: Suspicion = 'strong',
  attemptId = `attempt at ${lifeId}`,
): EndReport => ({
  lifeId,
  suspects: digests.map((digest) => ({ digest, attemptId, suspicion })),
});

test('the third end under a request reaches the bound, whichever daemon tells it', () => {
  const ledger = new CrashLedger();
  assert.equal(ledger.note(reportEnd('u-1', [A, B]), 0), []);
  assert.equal(ledger.note(reportEnd('u-2', [A]), 10), []);
  assert.equal(ledger.note(reportEnd('u-2', [A]), 11), [], 'told by another daemon');
  assert.equal(ledger.note(reportEnd('u-3', [A, B]), 20), [A]);
  assert.equal(ledger.listLives(A), ['u-1', 'u-2', 'u-3']);
  assert.is(ledger.getWeight(B), 2);
});

// Symptom: ordinary requests are refused while a service is well again. Sequence: upstreams end by chance,
// one after the other; a request loses all three that its route allows, and its caller comes again. Cause:
// one attempt alone took three ends.
test('one attempt alone takes a fourth end', () => {
  const ledger = new CrashLedger();
  const report = (life: string) => reportEnd(life, [A], 'strong', 'the only attempt');
  assert.equal(
    ['u-1', 'u-2', 'u-3'].map((life) => ledger.note(report(life), 0).length),
    [0, 0, 0],
  );
  assert.not(ledger.isGuilty(A));
  assert.equal(ledger.note(report('u-4'), 0), [A]);
  const again = new CrashLedger();
  ['u-1', 'u-2', 'u-3'].forEach((life) => again.note(report(life), 0));
  again.note(reportEnd('u-3', [A], 'strong', 'another attempt'), 0);
  assert.ok(again.isGuilty(A), 'a second attempt was at the third end too');
});

test('the order and number of reports do not matter', () => {
  const reports = ['u-1', 'u-2', 'u-3', 'u-4'].flatMap((life) => [
    reportEnd(life, [A, B]),
    reportEnd(life, [A], 'weak'),
  ]);
  const expected = new CrashLedger();
  reports.forEach((report) => expected.note(report, 0));
  const shuffles = fc.shuffledSubarray([...reports, ...reports], {
    minLength: reports.length * 2,
  });
  fc.assert(
    fc.property(shuffles, (shuffled) => {
      const ledger = new CrashLedger();
      shuffled.forEach((report) => ledger.note(report, 0));
      assert.is(ledger.getWeight(A), expected.getWeight(A));
      assert.is(ledger.getWeight(B), expected.getWeight(B));
    }),
    { seed: 5, numRuns: 50 },
  );
});

test('a request that has been answered for long, or whose upstream was leaving, is blamed half', () => {
  assert.is(judgeSuspicion({ answeredForMs: undefined, isEndExpected: false }), 'strong');
  assert.is(judgeSuspicion({ answeredForMs: 200, isEndExpected: false }), 'strong');
  assert.is(judgeSuspicion({ answeredForMs: 1_500, isEndExpected: false }), 'weak');
  assert.is(judgeSuspicion({ answeredForMs: undefined, isEndExpected: true }), 'weak');
  const ledger = new CrashLedger();
  const lives = ['u-1', 'u-2', 'u-3', 'u-4', 'u-5', 'u-6'];
  const reached = lives.map((life) => ledger.note(reportEnd(life, [A], 'weak'), 0).length);
  assert.equal(reached, [0, 0, 0, 0, 0, 1]);
});

test('a whole answer clears a request, and an upstream that lives takes its end back', () => {
  const ledger = new CrashLedger();
  ledger.note(reportEnd('u-1', [A, B]), 0);
  ledger.note(reportEnd('u-2', [B]), 0);
  assert.ok(ledger.clear(A));
  assert.not(ledger.clear(A));
  ledger.withdraw('u-1');
  assert.equal(ledger.listLives(B), ['u-2']);
  ledger.withdraw('u-2');
  assert.is(ledger.size, 0);
});

// Symptom: a request is held back though it was just answered. Sequence: an end is told twice; between the
// two the request is answered elsewhere. Cause: the second telling counts as another end.
test('an end that is told again after the answer counts no more', () => {
  const ledger = new CrashLedger();
  ledger.note(reportEnd('u-1', [A]), 0);
  ledger.clear(A);
  ledger.note(reportEnd('u-1', [A]), 1);
  assert.is(ledger.getWeight(A), 0);
  assert.ok(ledger.hasNoted(A, 'u-1'));
  ledger.note(reportEnd('u-2', [A]), 2);
  assert.is(ledger.getWeight(A), 1);
});

test('ends are forgotten after a while', () => {
  const ledger = new CrashLedger();
  ledger.note(reportEnd('u-1', [A]), 0);
  ledger.note(reportEnd('u-2', [A]), FORGET_AFTER_MS);
  assert.is(ledger.getWeight(A), 2);
  ledger.note(reportEnd('u-3', [B]), FORGET_AFTER_MS + 1);
  assert.equal(ledger.listLives(A), ['u-2']);
});

// Symptom: a request that ends upstreams is never held back while an upstream flaps under load. Sequence:
// thousands of requests are lost once each; the ledger is full and drops the oldest. Cause: the oldest is
// the one that comes again and again.
test('a flood of requests that saw one end each pushes out no worse one', () => {
  const ledger = new CrashLedger();
  ledger.note(reportEnd('u-1', [A]), 0);
  ledger.note(reportEnd('u-2', [A]), 0);
  for (let index = 0; index < 5_000; index += 1) {
    ledger.note(reportEnd(`f-${index}`, [asId<RequestDigest>(`d-${index}`)]), 1);
  }
  assert.is(ledger.getWeight(A), 2);
  assert.ok(ledger.size < 5_000);
});

test.run();

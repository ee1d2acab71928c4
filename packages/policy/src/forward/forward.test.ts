/** Repeats, roll-out schedule, verdicts on versions, and the cascade. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  RepeatBudget,
  chooseNextModel,
  getRolloutPlace,
  isVersionBad,
  mayTryAgain,
  type AfterAttempt,
} from './index.js';

const AFTER: AfterAttempt = {
  outcome: 'unknown',
  isRepeatable: false,
  sent: 1,
  maxAttempts: 3,
  unsent: 0,
  remainingMs: 1_000,
  minAttemptMs: 50,
};

// Symptom: a ticket filed twice. Sequence: the connection resets after the request went out, and it is
// sent to another upstream. Cause: a reset taken for proof that nothing ran.
test('what may not be repeated goes on only after proof that it did not run', () => {
  assert.not(mayTryAgain(AFTER));
  assert.not(mayTryAgain({ ...AFTER, outcome: 'failed' }));
  assert.ok(mayTryAgain({ ...AFTER, outcome: 'refused' }));
  assert.ok(mayTryAgain({ ...AFTER, outcome: 'notSent', sent: 0 }));
  assert.ok(mayTryAgain({ ...AFTER, isRepeatable: true }));
});

test('no upstream beyond the route’s attempts, none without time, few that cannot be reached', () => {
  const repeatable = { ...AFTER, isRepeatable: true };
  assert.not(mayTryAgain({ ...repeatable, sent: 3 }));
  assert.not(mayTryAgain({ ...repeatable, remainingMs: 20 }));
  assert.not(mayTryAgain({ ...repeatable, outcome: 'notSent', unsent: 4 }));
});

// Symptom: a failing service gets each request twice and never recovers. Sequence: all daemons repeat
// what fails. Cause: repeats that grow with failures instead of with requests.
test('repeats stay under the ratio of the daemon’s own requests', () => {
  const budget = new RepeatBudget({ ratio: 0.5, slack: 2, windowMs: 10_000 });
  for (let index = 0; index < 100; index += 1) {
    budget.countFirst(index);
  }
  let taken = 0;
  while (budget.tryRepeat('failure', 100)) {
    taken += 1;
  }
  assert.ok(taken >= 40 && taken <= 52, String(taken));
  assert.not(budget.tryRepeat('failure', 9_000));
  budget.countFirst(10_200);
  assert.ok(budget.tryRepeat('failure', 10_300));
});

test('better answers leave a part of the budget to failures', () => {
  const budget = new RepeatBudget({ ratio: 0.5, slack: 0, windowMs: 10_000 });
  for (let index = 0; index < 100; index += 1) {
    budget.countFirst(0);
  }
  while (budget.tryRepeat('quality', 1));
  assert.ok(budget.tryRepeat('failure', 1));
});

const countExposure = (durationMs: number, stopsAtMs: number): number => {
  let exposed = 0;
  for (let elapsedMs = 0; elapsedMs < stopsAtMs; elapsedMs += 10) {
    exposed += getRolloutPlace(elapsedMs, durationMs).newShare * 10;
  }
  return exposed / durationMs;
};

// The share of a roll-out's requests that a version gets which turns out bad only under load, and is
// stopped a second after it was moved to half of the requests: under 0.09 of an allowed 0.15.
test('a version that turns bad late gets a small share of all requests', () => {
  const halfMs = 24_000 * 0.59;
  assert.ok(countExposure(24_000, halfMs) < 0.05);
  assert.ok(countExposure(24_000, halfMs + 1_000) < 0.09);
});

test('the move is over early enough for long streams, and the shares only grow', () => {
  assert.is(getRolloutPlace(24_000 * 0.66, 24_000).newShare, 1);
  assert.is(getRolloutPlace(23_000, 24_000).phase, 'closing');
  let last = 0;
  for (let elapsedMs = 0; elapsedMs <= 24_000; elapsedMs += 100) {
    const { newShare } = getRolloutPlace(elapsedMs, 24_000);
    assert.ok(newShare >= last);
    last = newShare;
  }
});

test('a bad version is told from one that fails no more than the old one', () => {
  assert.ok(isVersionBad({ answers: 10, bad: 4 }, { answers: 100, bad: 1 }));
  assert.not(isVersionBad({ answers: 10, bad: 4 }, { answers: 100, bad: 30 }), 'both fail');
  assert.not(isVersionBad({ answers: 5, bad: 2 }, { answers: 100, bad: 0 }), 'too few');
  assert.not(isVersionBad({ answers: 200, bad: 4 }, { answers: 100, bad: 0 }), 'too rare');
});

test('an unsure answer is asked of the largest model, while an attempt is left', () => {
  const input = {
    models: ['small', 'middle', 'large'],
    confidence: 20,
    threshold: 60,
    onTimeLeftMs: 500,
    canAttemptAgain: true,
  };
  assert.is(chooseNextModel(input, 'small'), 'large');
  assert.is(chooseNextModel({ ...input, confidence: 80 }, 'small'), undefined);
  assert.is(chooseNextModel({ ...input, canAttemptAgain: false }, 'small'), undefined);
  assert.is(chooseNextModel(input, 'large'), undefined);
});

test.run();

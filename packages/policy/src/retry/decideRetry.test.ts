/** Retries happen only where a second execution is harmless, and within budget and deadline. */
import { createRandom } from '@snipehaven/common';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRetryBudget, decideRetry, feedRetryBudget } from './index.js';
import type { RetryInput } from './types.js';

const INPUT: RetryInput = {
  verdict: 'notRun',
  isIdempotent: false,
  hasAnswerStarted: false,
  attempts: 1,
  budget: { tokens: 3 },
  remainingMs: 1_000,
  expectedMs: 100,
  retryAfterMs: 0,
  openTargets: ['otherDataCentre', 'nextModel', 'sameModel'],
};

const decide = (more: Partial<RetryInput>) => decideRetry({ ...INPUT, ...more }, createRandom(1));

// Guards against duplicate effects: the connection breaks after the request was sent, the break is
// taken as proof that nothing ran, and the request is sent again.
test('a request that may have run is retried only if it is idempotent', () => {
  fc.assert(
    fc.property(
      fc.constantFrom('unknown' as const, 'ran' as const),
      fc.boolean(),
      (verdict, isIdempotent) => {
        assert.is(decide({ verdict, isIdempotent }).kind, isIdempotent ? 'retry' : 'giveUp');
      },
    ),
    { seed: 3 },
  );
});

test('falls back to the same model, then the next one, then another data centre', () => {
  const targetOf = (openTargets: RetryInput['openTargets']) => {
    const decision = decide({ openTargets });
    return decision.kind === 'retry' ? decision.target : decision.reason;
  };
  assert.is(targetOf(['otherDataCentre', 'nextModel', 'sameModel']), 'sameModel');
  assert.is(targetOf(['otherDataCentre', 'nextModel']), 'nextModel');
  assert.is(targetOf(['otherDataCentre']), 'otherDataCentre');
  assert.is(targetOf([]), 'noTarget');
});

test('gives up at once when no budget, time or attempts are left', () => {
  const reasonOf = (more: Partial<RetryInput>) => {
    const decision = decide(more);
    return decision.kind === 'giveUp' ? decision.reason : undefined;
  };
  assert.is(reasonOf({ budget: { tokens: 0.9 } }), 'budgetUsed');
  assert.is(reasonOf({ remainingMs: 50 }), 'deadline');
  assert.is(reasonOf({ attempts: 3 }), 'attemptsUsed');
  assert.is(reasonOf({ hasAnswerStarted: true }), 'answerStarted');
});

test('retries stay within a tenth of the requests plus the initial budget', () => {
  let budget = createRetryBudget();
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget = feedRetryBudget(budget);
    const decision = decide({ budget });
    budget = decision.budget;
    retries += decision.kind === 'retry' ? 1 : 0;
  }
  assert.ok(retries <= 105);
});

test.run();

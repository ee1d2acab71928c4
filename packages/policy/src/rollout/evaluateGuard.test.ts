/** Error rates and verdicts of the guard, with fixed random seeds. */
import { createRandom, type Random } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  addCounts,
  countOutcome,
  createEmptyCounts,
  type OutcomeCounts,
} from '../evidence/index.js';
import { addPair, type PairShare } from './pairCounts.js';
import { emptyPairCounts, evaluateGuard, startProgress } from './index.js';
import { createDefinition } from './testHelpers.js';

const RUNS = 100;
const EVALUATIONS = 40;
const ANSWERS_PER_EVALUATION = 10;

const drawScore = (badShare: number, random: Random): number =>
  random.next() < badShare ? 0.3 * random.next() : 0.7 + 0.3 * random.next();

const drawCounts = (badShare: number, count: number, random: Random): OutcomeCounts => {
  let counts = createEmptyCounts();
  for (let index = 0; index < count; index += 1) {
    const score = drawScore(badShare, random);
    counts = addCounts(counts, countOutcome({ type: 'rated', score }));
    counts = addCounts(counts, countOutcome({ type: 'ended', end: 'complete', isSlow: false }));
  }
  return counts;
};

const definition = createDefinition();
const progress = startProgress(definition, 1, 0);

/**
 * Evaluates the guard after each batch, as the lease holder does, and returns whether any
 * evaluation quarantines the candidate.
 */
const isEverQuarantined = (badShare: number, random: Random): boolean => {
  const stable = drawCounts(0.1, 400, random);
  let candidate = createEmptyCounts();
  let pairs: PairShare = { source: 'a', counts: emptyPairCounts() };
  for (let look = 0; look < EVALUATIONS; look += 1) {
    candidate = addCounts(candidate, drawCounts(badShare, ANSWERS_PER_EVALUATION, random));
    for (let pair = 0; pair < ANSWERS_PER_EVALUATION; pair += 1) {
      pairs = addPair(pairs, drawScore(0.1, random), drawScore(badShare, random));
    }
    const strata = [{ candidate, stable }];
    const input = { definition, progress, strata, pairCounts: pairs.counts };
    if (evaluateGuard(input).verdict === 'quarantine') {
      return true;
    }
  }
  return false;
};

const countQuarantines = (badShare: number): number => {
  const random = createRandom(7);
  return Array.from({ length: RUNS }, () => isEverQuarantined(badShare, random)).filter(Boolean)
    .length;
};

test('a version as good as the stable one is rarely quarantined, however often the guard runs', () => {
  assert.ok(countQuarantines(0.1) <= 2);
});

test('a version that fails on a quarter of the answers is always quarantined', () => {
  assert.is(countQuarantines(0.25 + 0.1), RUNS);
});

test('error, empty, truncated and slow answers each raise their own signal', () => {
  const stable = drawCounts(0.1, 400, createRandom(1));
  const cases = [
    ['error', { type: 'ended', end: 'error', isSlow: false }],
    ['empty', { type: 'ended', end: 'empty', isSlow: false }],
    ['cut', { type: 'ended', end: 'cut', isSlow: false }],
    ['slow', { type: 'ended', end: 'complete', isSlow: true }],
  ] as const;
  cases.forEach(([signal, outcome]) => {
    const bad = Array.from({ length: 20 }, () => countOutcome(outcome));
    const candidate = bad.reduce(addCounts);
    const result = evaluateGuard({ definition, progress, strata: [{ candidate, stable }] });
    assert.is(result.verdict, 'quarantine');
    assert.is(result.strongestSignal, signal);
  });
});

test('the shadow phase ends when paired ratings show the candidate within the margin', () => {
  const random = createRandom(3);
  const shares = Array.from({ length: 1_500 }).reduce<PairShare>(
    (share) => addPair(share, drawScore(0.1, random), drawScore(0.1, random)),
    { source: 'a', counts: emptyPairCounts() },
  );
  const result = evaluateGuard({ definition, progress, strata: [], pairCounts: shares.counts });
  assert.is(progress.phase, 'shadow');
  assert.is(result.verdict, 'advance');
});

test.run();

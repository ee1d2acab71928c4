/** Properties of the evidence: merging, pooling, confidence bounds and sequential tests. */
import { createRandom } from '@snipehaven/common';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  addOutcome,
  aggregateCell,
  emptyBins,
  emptyCell,
  EPOCH_MS,
  foldCell,
  getMeanIncreaseLogEValue,
  getQualityLowerBound,
  getScoreBin,
  hasDrifted,
  mergeCells,
  poolEvidence,
  startDriftDetector,
  startEra,
  sumBins,
  TASK_POOL_WEIGHT,
  updateDriftDetector,
  VERSION_POOL_WEIGHT,
  type EvidenceCell,
  type Outcome,
} from './index.js';

const SEED = 20261202;
const NOW_MS = 100 * EPOCH_MS;

const outcomeArbitrary: fc.Arbitrary<Outcome> = fc.oneof(
  fc.record({
    type: fc.constant('rated' as const),
    score: fc.double({ min: 0, max: 1, noNaN: true }),
  }),
  fc.record({
    type: fc.constant('ended' as const),
    end: fc.constantFrom('complete', 'error', 'empty', 'cut'),
    isSlow: fc.boolean(),
  }),
);

/** Partial views of the counts of three daemons; any two may stem from different times. */
const cellArbitrary = fc
  .record({
    outcomes: fc.array(
      fc.record({
        source: fc.constantFrom('a', 'b', 'c'),
        epochsAgo: fc.nat(3),
        outcome: outcomeArbitrary,
      }),
      { maxLength: 12 },
    ),
    era: fc.nat(2),
  })
  .map(({ outcomes, era }) =>
    outcomes.reduce<EvidenceCell>(
      (cell, { source, epochsAgo, outcome }) =>
        addOutcome(cell, source, outcome, NOW_MS - epochsAgo * EPOCH_MS),
      startEra(emptyCell, era),
    ),
  );

test('merging is commutative, associative and idempotent', () => {
  fc.assert(
    fc.property(cellArbitrary, cellArbitrary, cellArbitrary, (a, b, c) => {
      assert.equal(mergeCells(a, b), mergeCells(b, a));
      assert.equal(mergeCells(mergeCells(a, b), c), mergeCells(a, mergeCells(b, c)));
      assert.equal(mergeCells(a, a), a);
    }),
    { seed: SEED },
  );
});

test('aggregates of partial views never exceed the counts of the daemons', () => {
  // Guards against a version that looks proven because ratings were counted twice. This happens
  // when aggregation moves to a daemon that has received data from other peers and the two
  // aggregates are added instead of joined.
  fc.assert(
    fc.property(cellArbitrary, cellArbitrary, (a, b) => {
      const whole = mergeCells(a, b);
      const aggregates = mergeCells(aggregateCell(a, 'dc'), aggregateCell(b, 'dc'));
      const counted = sumBins(foldCell(aggregates, NOW_MS).scoreCounts);
      assert.ok(counted <= sumBins(foldCell(whole, NOW_MS).scoreCounts) + 1e-9);
    }),
    { seed: SEED },
  );
});

test('a new era discards the weight of counts from before the drift', () => {
  const rated = addOutcome(emptyCell, 'a', { type: 'rated', score: 0.9 }, NOW_MS);
  const drifted = startEra(rated, 1);
  assert.is(sumBins(foldCell(rated, NOW_MS).scoreCounts), 1);
  assert.is(sumBins(foldCell(drifted, NOW_MS).scoreCounts), 0);
  assert.is(sumBins(foldCell(mergeCells(rated, drifted), NOW_MS).scoreCounts), 0);
});

const createBins = (score: number, count: number): readonly number[] => {
  const bins = emptyBins();
  bins[getScoreBin(score)] = count;
  return bins;
};

const createEvidence = (score: number, count: number) => {
  const bins = createBins(score, count);
  return poolEvidence({ ownScores: bins, taskScores: bins, versionScores: bins });
};

test('the lower bound rises with evidence and stays below the mean', () => {
  const few = getQualityLowerBound(createEvidence(0.9, 5), 0.9);
  const many = getQualityLowerBound(createEvidence(0.9, 500), 0.9);
  assert.is(getQualityLowerBound(createEvidence(0.9, 0), 0.9), 0);
  assert.ok(few < many);
  assert.ok(many < createEvidence(0.9, 500).mean);
});

test("other teams' evidence counts for a bounded number of ratings", () => {
  const own = emptyBins();
  const others = createBins(0.9, 10_000);
  const pooled = poolEvidence({ ownScores: own, taskScores: others, versionScores: others });
  assert.is(pooled.ownWeight, 0);
  assert.ok(pooled.weight <= TASK_POOL_WEIGHT + VERSION_POOL_WEIGHT);
});

const RUNS = 200;
const RATINGS = 300;
const ALPHA = 0.05;

const drawBadness = (badShare: number, next: () => number): number =>
  next() < badShare ? 0.95 : 0.05;

test('the rate of false alarms of the sequential test is at most alpha', () => {
  const random = createRandom(11);
  const badShare = 0.1;
  const nullMean = badShare * 0.975 + (1 - badShare) * 0.075;
  const isAlarmed = (): boolean => {
    const counts = emptyBins();
    return Array.from({ length: RATINGS }).some(() => {
      const bin = getScoreBin(drawBadness(badShare, random.next));
      counts[bin] = (counts[bin] ?? 0) + 1;
      return getMeanIncreaseLogEValue([{ counts, nullMean }]) >= Math.log(1 / ALPHA);
    });
  };
  const alarms = Array.from({ length: RUNS }, isAlarmed).filter(Boolean).length;
  assert.ok(alarms <= RUNS * ALPHA);
});

const rateUntilDrift = (score: number, count: number): boolean => {
  const reference = createEvidence(0.9, 200);
  const start = Array.from({ length: 1_000 }).reduce(
    (detector: ReturnType<typeof startDriftDetector>) =>
      updateDriftDetector(detector, 0.9, reference),
    startDriftDetector(),
  );
  const end = Array.from({ length: count }).reduce(
    (detector: ReturnType<typeof startDriftDetector>) =>
      updateDriftDetector(detector, score, reference),
    start,
  );
  return hasDrifted(end);
};

test('a drift is detected soon, however long the version was good before', () => {
  assert.is(rateUntilDrift(0.9, 1_000), false);
  assert.is(rateUntilDrift(0.5, 30), true);
});

test.run();

/** Estimates of engines and models from a daemon's own answers and from those of other daemons. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ModelDemand } from './modelDemand.js';
import { WorkPace, type PaceSum } from './workPace.js';

/**
 * Returns what is learned from the given number of answers, each with an amount of work and a
 * duration in ms.
 */
const learnFrom = (
  answers: number,
  draw: (index: number) => readonly [number, number],
): PaceSum => {
  const pace = new WorkPace();
  Array.from({ length: answers }, (_, index) => pace.recordAnswer(...draw(index)));
  return pace.own;
};

test('a daemon without answers of its own uses those of other daemons', () => {
  const alone = new WorkPace();
  const informed = new WorkPace(() => learnFrom(100, () => [5_000, 100]));
  assert.is(alone.estimateWork(100), 2_000);
  assert.ok(informed.estimateWork(100) > 4_900);
  assert.ok(informed.estimateMs(5_000) < 102);
});

test('without other daemons a daemon learns from its own answers', () => {
  const pace = new WorkPace();
  for (let answers = 0; answers < 300; answers += 1) {
    pace.recordAnswer(5_000, 100);
  }
  assert.ok(Math.abs(pace.estimateWork(100) - 5_000) < 20, `${pace.estimateWork(100)}`);
  assert.ok(pace.own.work > 0);
});

// Guards against answering the longest prompts with the smallest model although the largest one
// would be in time. This happens when the mean rate of all answers is applied to a long prompt:
// nearly all answers are short, and their duration is not determined by their work.
test('the start of a long prompt is not estimated from the fixed delay of short ones', () => {
  const sizes = [50, 100, 150, 800, 12_000];
  const draw = (index: number): readonly [number, number] => {
    const work = sizes[index % sizes.length] ?? 0;
    return [work, 60 + work / 30];
  };
  const shared = new WorkPace(() => learnFrom(200, draw));
  for (const work of [0, 1_000, 12_000, 24_000]) {
    const expectedMs = 60 + work / 30;
    const startMs = shared.estimateStartMs(work);
    assert.ok(Math.abs(startMs - expectedMs) < 0.1 * expectedMs + 5, `${work}: ${startMs}`);
  }
  const alike = new WorkPace(() => learnFrom(200, () => [1_000, 50]));
  assert.ok(Math.abs(alike.estimateStartMs(1_000) - 50) < 3, `${alike.estimateStartMs(1_000)}`);
});

test('no sequence of answers yields a negative or infinite start time', () => {
  const draws: ((index: number) => readonly [number, number])[] = [
    (index) => [index, 1_000 - index],
    () => [0, 30],
    (index) => [index % 2 === 0 ? 0 : 50_000, 10_000],
    (index) => [1e6 * (index % 3), 1],
  ];
  for (const draw of draws) {
    const pace = new WorkPace(() => learnFrom(300, draw));
    for (const work of [0, 500, 50_000]) {
      const startMs = pace.estimateStartMs(work);
      assert.ok(Number.isFinite(startMs) && startMs >= 0, `${startMs}`);
    }
  }
});

test('partitions follow the demand observed by all daemons', () => {
  const others = [
    { model: 'small', work: 1_000 },
    { model: 'large', work: 2_500 },
  ];
  const demand = new ModelDemand(() => others);
  const models = ['small', 'large'];
  assert.equal(demand.findPartition(models, 'large'), { from: 0, to: 0.5 });
  demand.recordWork('small', 1_000);
  assert.equal(demand.findPartition(models, 'small')?.to, 1);
  assert.ok((demand.findPartition(models, 'large')?.to ?? 1) < 0.5);
  assert.equal(demand.own, [{ model: 'small', work: 1_000 }]);
});

test.run();

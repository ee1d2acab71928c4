/** What a daemon believes of engines and models by its own answers and by what others learned. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ModelDemand } from './modelDemand.js';
import { WorkPace } from './workPace.js';

test('a daemon that has seen no answer believes the others', () => {
  const alone = new WorkPace();
  const told = new WorkPace(() => ({ work: 500_000, tookMs: 10_000 }));
  assert.is(alone.estimateWork(100), 2_000);
  assert.ok(told.estimateWork(100) > 4_900);
  assert.ok(told.estimateMs(5_000) < 102);
});

test('without others a daemon learns by its own answers', () => {
  const pace = new WorkPace();
  for (let answers = 0; answers < 300; answers += 1) {
    pace.note(5_000, 100);
  }
  assert.ok(Math.abs(pace.estimateWork(100) - 5_000) < 20, `${pace.estimateWork(100)}`);
  assert.ok(pace.own.work > 0);
});

test('lanes follow the demand that all daemons see', () => {
  const others = [
    { model: 'small', work: 1_000 },
    { model: 'large', work: 2_500 },
  ];
  const demand = new ModelDemand(() => others);
  const models = ['small', 'large'];
  assert.equal(demand.findLane(models, 'large'), { from: 0, to: 0.5 });
  demand.note('small', 1_000);
  assert.equal(demand.findLane(models, 'small')?.to, 1);
  assert.ok((demand.findLane(models, 'large')?.to ?? 1) < 0.5);
  assert.equal(demand.own, [{ model: 'small', work: 1_000 }]);
});

test.run();

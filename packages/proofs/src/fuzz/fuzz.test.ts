/** The fixed set of fuzzing runs for CI; `npm run fuzz` draws others. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fuzz } from './fuzz.js';

const RUNS = 8;
const MAX_STEPS = 60;

[1, 2, 3].forEach((seed) => {
  test(`no promise breaks in ${RUNS} runs of seed ${seed}`, async () => {
    const report = await fuzz({ seed, runs: RUNS, maxSteps: MAX_STEPS });
    assert.equal(report.counterexample, undefined);
    assert.is(report.violations, 0);
    assert.is(report.runs, RUNS);
  });
});

test('the same seed gives the same run', async () => {
  const options = { seed: 4, runs: 2, maxSteps: MAX_STEPS };
  const first = await fuzz(options);
  const second = await fuzz(options);
  assert.equal(first, second);
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { evaluateLine, fitLine } from './fitLine.js';

test('finds the line that points lie on, without residual', () => {
  const line = fitLine([3, 9, 27, 54].map((x) => ({ x, y: 5 + 2 * x })));
  assert.ok(Math.abs(line.slope - 2) < 1e-9);
  assert.ok(Math.abs(line.intercept - 5) < 1e-9);
  assert.ok(line.residual < 1e-9);
  assert.ok(Math.abs(evaluateLine(line, 400) - 805) < 1e-6);
});

test('tells how far points lie from the line', () => {
  const line = fitLine([
    { x: 0, y: 1 },
    { x: 0, y: -1 },
    { x: 2, y: 1 },
    { x: 2, y: -1 },
  ]);
  assert.is(line.slope, 0);
  assert.is(line.residual, 1);
});

test('is flat where nothing was varied', () => {
  assert.equal(fitLine([{ x: 4, y: 7 }]), { slope: 0, intercept: 7, residual: 0 });
});

test.run();

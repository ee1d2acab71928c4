/** Upstreams taken out of service by operators, individually or by data centre. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { isDrainedByOperator } from './isDrainedByOperator.js';

test('drains and evacuations apply only to their upstream or data centre', () => {
  const marks = new Set(['drain/engine-1', 'evacuate/north-2']);
  const safeMoves = {
    isActive: (kind: string, subject: string) => marks.has(`${kind}/${subject}`),
  };
  const isLeaving = (id: string, dataCentre: string) =>
    isDrainedByOperator(safeMoves, { id, spec: { dataCentre } });
  assert.ok(isLeaving('engine-1', 'north-1'));
  assert.ok(isLeaving('engine-2', 'north-2'));
  assert.not(isLeaving('engine-2', 'north-1'));
  assert.not(isLeaving('north-2', 'north-1'));
  marks.delete('evacuate/north-2');
  assert.not(isLeaving('engine-2', 'north-2'));
});

test.run();

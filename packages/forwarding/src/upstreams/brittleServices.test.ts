/** Which services are taken for brittle, by what answers say. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { BrittleServices } from './brittleServices.js';

const test = suite('brittle services');

test('a lower number counts at once, a higher one once the lower is no longer confirmed', () => {
  const services = new BrittleServices();
  assert.is(services.note('s', { rejectionsPerS: 6, heardAtMs: 0 }), 'begun');
  assert.is(services.note('s', { rejectionsPerS: 4, heardAtMs: 10 }), 'changed');
  assert.is(services.note('s', { rejectionsPerS: 6, heardAtMs: 20 }), undefined);
  assert.is(services.getRejectionsPerS('s'), 4);
  assert.is(services.note('s', { rejectionsPerS: 6, heardAtMs: 4_000 }), 'changed');
  assert.is(services.getRejectionsPerS('s'), 6);
  assert.is(services.getRejectionsPerS('other'), undefined);
});

// Guards against one answer without the statement that ends it while others still make it.
test('ends by an answer to a request that was sent long after the statement was last heard', () => {
  const services = new BrittleServices();
  services.note('s', { rejectionsPerS: 6, heardAtMs: 1_000 });
  assert.is(services.noteWithout('s', 900), undefined);
  assert.is(services.noteWithout('s', 2_000), undefined);
  services.note('s', { rejectionsPerS: 6, heardAtMs: 3_000 });
  assert.is(services.noteWithout('s', 4_000), undefined);
  assert.is(services.noteWithout('s', 6_000), 'ended');
  assert.is(services.getRejectionsPerS('s'), undefined);
  assert.is(services.noteWithout('s', 7_000), undefined);
});

test.run();

/** Shares of a brittle upstream's places and of the requests that it can turn away. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { getBrittlePauseMs, getBrittlePlaces } from './index.js';

const test = suite('brittle upstreams');

test('daemons that all send have an equal share of the places, and one at least', () => {
  assert.is(getBrittlePlaces({ slots: 8, daemons: 2, others: 8 }), 4);
  assert.is(getBrittlePlaces({ slots: 6, daemons: 64, others: 6 }), 1);
});

test('a daemon alone may use most places', () => {
  assert.is(getBrittlePlaces({ slots: 8, daemons: 8, others: 0 }), 6);
  assert.is(getBrittlePlaces({ slots: 8, daemons: 1, others: 0 }), 8);
});

// Guards against limits that hold on average, but not in each second.
test('pauses keep all daemons within the limit in any second', () => {
  for (const daemons of [1, 2, 3, 8, 64]) {
    for (const rejectionsPerS of [0.5, 1, 4, 10, 100]) {
      const pauseMs = getBrittlePauseMs({ rejectionsPerS, daemons });
      const inOneSecond = pauseMs > 1_000 ? 1_000 / pauseMs : Math.ceil(1_000 / pauseMs);
      assert.ok(
        inOneSecond * daemons <= Math.max(rejectionsPerS, 1e-9) + 1e-9,
        `${daemons} daemons, ${rejectionsPerS}/s: pause of ${pauseMs} ms`,
      );
    }
  }
});

test.run();

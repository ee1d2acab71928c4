/** Which parts of prompts fleets hold when upstreams crash under one of them, or for other reasons. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  CALM_MS,
  CrashFleet,
  MAX_LATE_ARRIVALS,
  MEASURED_MS,
  playPart,
} from './testSupport/crashFleet.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('suspects in a fleet', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
});

test.after.each(({ clock }) => clock.uninstall());

const seedsByDaemons = new Map([
  [2, [1, 2, 3, 4, 5, 6]],
  [9, [1, 2, 3, 4, 5, 6]],
  [64, [1]],
]);

for (const [daemons, seeds] of seedsByDaemons) {
  // Guards against a part that clears itself before it makes its upstream exit.
  for (const crashAfterMs of [20, 500, 1_200]) {
    test(`${daemons} daemons hold a part that ends upstreams after ${crashAfterMs} ms`, ({
      clock,
    }) => {
      for (const seed of seeds) {
        const { late } = playPart(clock, { daemons, crashAfterMs, seed });
        assert.ok(late <= MAX_LATE_ARRIVALS, `seed ${seed}: ${late} late`);
      }
    });
  }

  // Guards against answers from before that excuse a part which has turned bad.
  test(`${daemons} daemons hold a part that was sound before`, ({ clock }) => {
    for (const seed of seeds) {
      const { late } = playPart(clock, {
        daemons,
        crashAfterMs: 400,
        seed,
        isSoundAtFirst: true,
      });
      assert.ok(late <= MAX_LATE_ARRIVALS, `seed ${seed}: ${late} late`);
    }
  });

  // Guards against holding what ran beside the part.
  test(`${daemons} daemons hold no sound part for the crashes of another`, ({ clock }) => {
    for (const seed of seeds) {
      for (const crashAfterMs of [20, 500, 1_200]) {
        const { heldWrongly } = playPart(clock, { daemons, crashAfterMs, seed });
        assert.equal([...heldWrongly], [], `seed ${seed}, ${crashAfterMs} ms`);
      }
    }
  });

  // Guards against holding what ran beside a part that turned bad.
  test(`${daemons} daemons hold no sound part for one that was sound before`, ({ clock }) => {
    for (const seed of seeds) {
      const { heldWrongly } = playPart(clock, {
        daemons,
        crashAfterMs: 400,
        seed,
        isSoundAtFirst: true,
      });
      assert.equal([...heldWrongly], [], `seed ${seed}`);
    }
  });

  // Guards against holding sound parts for upstreams that end for reasons of their own.
  test(`${daemons} daemons hold nothing when upstreams end by chance`, ({ clock }) => {
    for (const seed of seeds) {
      const fleet = new CrashFleet(clock, { daemons, crashAfterMs: 0, seed });
      fleet.run(CALM_MS, 0);
      fleet.run(MEASURED_MS, 0, (atMs) => {
        if (atMs % 4_000 === 0) {
          fleet.crash(4);
        } else if (atMs % 500 === 0 && atMs < 6_000) {
          fleet.crash(1);
        }
      });
      assert.equal([...fleet.heldWrongly], [], `seed ${seed}`);
    }
  });
}

test.run();

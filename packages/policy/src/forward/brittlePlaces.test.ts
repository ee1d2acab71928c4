/** Shares of the places of brittle upstreams. */
import fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { countPlaceOwners, getOwnedShare, getSafePlaces } from './index.js';

const test = suite('places of brittle upstreams');

// Guards against a place for each daemon where there are fewer places than daemons.
test('owners lend no more than there are places, and bear no more rejections than the upstream', () => {
  const upstreams = fc.record({
    slots: fc.integer({ min: 1, max: 128 }),
    rejectionsPerS: fc.integer({ min: 0, max: 400 }),
  });
  fc.assert(
    fc.property(upstreams, (upstream) => {
      const owners = countPlaceOwners(upstream.slots, upstream.rejectionsPerS);
      const shares = Array.from({ length: owners }, (_, rank) =>
        getOwnedShare(upstream, owners, rank),
      );
      const sum = (field: keyof (typeof shares)[0]): number =>
        shares.reduce((total, share) => total + share[field], 0);
      assert.is(sum('places'), getSafePlaces(upstream.slots));
      assert.is(sum('rejectionsPerS'), upstream.rejectionsPerS);
      assert.ok(shares.every(({ places }) => places >= 1));
    }),
    { seed: 55, numRuns: 200 },
  );
});

test('a few slots are left free, and one place is always lent', () => {
  assert.equal([1, 2, 6, 8, 32, 64].map(getSafePlaces), [1, 1, 5, 7, 28, 57]);
});

test.run();

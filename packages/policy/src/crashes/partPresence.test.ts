/** Which parts are on most upstreams, by the requests in flight when one crashed. */
import { asId, type RequestDigest } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { PartPresence } from './partPresence.js';
import type { CrashReport } from './types.js';

const test = suite('presence of parts');

const QUARTER = asId<RequestDigest>('part-quarter');
const RARE = asId<RequestDigest>('part-rare');

/** A daemon that lost so many requests, and has 100 elsewhere: 25 with one part, one with the other. */
const report = (lifeId: string, lost: number): CrashReport => ({
  lifeId,
  inFlightElsewhere: 100,
  suspects: Array.from({ length: lost }, (_, index) => [
    {
      digest: QUARTER,
      attemptId: `${lifeId} ${index}`,
      suspicion: 'strong' as const,
      elsewhere: 25,
    },
    { digest: RARE, attemptId: `${lifeId} ${index}`, suspicion: 'strong' as const, elsewhere: 1 },
  ]).flat(),
});

// Guards against blaming a part of few requests that is on every upstream all the same.
test('a part of a quarter of the requests is on most upstreams that run many at a time', () => {
  const presence = new PartPresence();
  presence.record(report('u-1', 12));
  assert.is(presence.isOnMostUpstreams(QUARTER), true);
  assert.is(presence.isOnMostUpstreams(RARE), false);
});

test('it is not where upstreams run few at a time', () => {
  const presence = new PartPresence();
  presence.record(report('u-1', 2));
  presence.record(report('u-2', 4));
  assert.is(presence.isOnMostUpstreams(QUARTER), false);
});

test('nothing is told of parts while few requests are in flight', () => {
  const presence = new PartPresence();
  presence.record({ ...report('u-1', 2), inFlightElsewhere: 3 });
  assert.is(presence.isOnMostUpstreams(QUARTER), undefined);
});

test.run();

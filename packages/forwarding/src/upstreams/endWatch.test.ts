/** What tells an upstream's end from a connection that it closed. */
import { asId, type RequestDigest } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ProbeOutcome } from '../exchange/index.js';
import { EndWatch, type SentRequest } from './endWatch.js';

const test = suite('an upstream that ends');

const send = (attemptId: string): SentRequest => ({
  attemptId,
  digest: asId<RequestDigest>(`digest-of-${attemptId}`),
  sentAtMs: 0,
  beganAtMs: undefined,
});

const watchWith = (outcome: ProbeOutcome) => {
  const ends: string[][] = [];
  let probes = 0;
  const watch = new EndWatch({
    probe: () => {
      probes += 1;
      return Promise.resolve(outcome);
    },
    onEnd: (lost) => ends.push(lost.map(({ attemptId }) => attemptId).sort()),
  });
  return { watch, ends, countProbes: () => probes };
};

test('is found by one connection, whatever was lost, and told once with all that was there', async () => {
  const { watch, ends, countProbes } = watchWith('refused');
  const [a, b, c] = [send('a'), send('b'), send('c')];
  [a, b, c].forEach((one) => watch.enter(one));
  watch.leave(a);
  watch.leave(b);
  const verdicts = await Promise.all([watch.noteLoss(a), watch.noteLoss(b)]);
  assert.equal(verdicts, ['ended', 'ended']);
  assert.equal(ends, [['a', 'b', 'c']]);
  watch.leave(c);
  assert.is(await watch.noteLoss(c), 'ended');
  assert.is(ends.length, 1);
  assert.is(countProbes(), 1);
});

test('is not one that only closed a connection, or that nobody can reach', async () => {
  for (const [outcome, verdict] of [
    ['listening', 'listening'],
    ['silent', 'unknown'],
  ] as const) {
    const { watch, ends } = watchWith(outcome);
    const one = send('a');
    assert.is(await watch.noteLoss(one), verdict);
    assert.equal(ends, []);
    assert.is(watch.endedAtMs, undefined);
  }
});

test('is asked for again at the next loss', async () => {
  const outcomes: ProbeOutcome[] = ['listening', 'refused'];
  const ends: number[] = [];
  const watch = new EndWatch({
    probe: () => Promise.resolve(outcomes.shift() ?? 'silent'),
    onEnd: (lost) => ends.push(lost.length),
  });
  assert.is(await watch.noteLoss(send('a')), 'listening');
  assert.is(await watch.noteLoss(send('b')), 'ended');
  assert.equal(ends, [1]);
});

test.run();

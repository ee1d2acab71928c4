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
  onHeld: () => {},
});

const watchWith = (outcome: ProbeOutcome) => {
  const ends: string[][] = [];
  let probes = 0;
  let revivals = 0;
  const watch = new EndWatch({
    probe: () => {
      probes += 1;
      return Promise.resolve(outcome);
    },
    onEnd: (lost) => ends.push(lost.map(({ attemptId }) => attemptId).sort()),
    onAlive: () => {
      revivals += 1;
    },
  });
  return { watch, ends, countProbes: () => probes, countRevivals: () => revivals };
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
    onAlive: () => {},
  });
  assert.is(await watch.noteLoss(send('a')), 'listening');
  assert.is(await watch.noteLoss(send('b')), 'ended');
  assert.equal(ends, [1]);
});

// Symptom: a request is held back though no upstream ended. Sequence: a cut refuses connections to three
// upstreams, one after the other, and heals. Cause: behind a cut an upstream looks as if it had ended.
test('turns out not to have ended when it answers what was sent since', async () => {
  const { watch, countRevivals } = watchWith('refused');
  const lost = send('a');
  await watch.noteLoss(lost);
  watch.noteServed(lost);
  assert.is(countRevivals(), 0, 'bytes on the way when it ended');
  watch.noteServed({ ...send('b'), sentAtMs: performance.now() + 1 });
  assert.is(countRevivals(), 1);
  assert.is(watch.endedAtMs, undefined);
});

test.run();

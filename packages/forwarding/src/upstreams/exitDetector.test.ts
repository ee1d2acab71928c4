/** What tells an upstream's end from a connection that it closed. */
import { asId, type RequestDigest } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ProbeOutcome } from '../exchange/index.js';
import { ExitDetector, type SentRequest } from './exitDetector.js';

const test = suite('an upstream that ends');

const send = (attemptId: string): SentRequest => ({
  attemptId,
  digest: asId<RequestDigest>(`digest-of-${attemptId}`),
  sentAtMs: 0,
  beganAtMs: undefined,
  onHeld: () => {},
});

const createDetector = (outcome: ProbeOutcome) => {
  const ends: string[][] = [];
  let probes = 0;
  let revivals = 0;
  const detector = new ExitDetector({
    probe: () => {
      probes += 1;
      return Promise.resolve(outcome);
    },
    onEnd: (lost) => ends.push(lost.map(({ attemptId }) => attemptId).sort()),
    onAlive: () => {
      revivals += 1;
    },
  });
  return { detector, ends, countProbes: () => probes, countRevivals: () => revivals };
};

test('is found by one connection, whatever was lost, and told once with all that was there', async () => {
  const { detector, ends, countProbes } = createDetector('refused');
  const [a, b, c] = [send('a'), send('b'), send('c')];
  [a, b, c].forEach((one) => detector.addRequest(one));
  detector.removeRequest(a);
  detector.removeRequest(b);
  const verdicts = await Promise.all([detector.onConnectionLost(a), detector.onConnectionLost(b)]);
  assert.equal(verdicts, ['ended', 'ended']);
  assert.equal(ends, [['a', 'b', 'c']]);
  detector.removeRequest(c);
  assert.is(await detector.onConnectionLost(c), 'ended');
  assert.is(ends.length, 1);
  assert.is(countProbes(), 1);
});

test('is not one that only closed a connection, or that nobody can reach', async () => {
  for (const [outcome, verdict] of [
    ['listening', 'listening'],
    ['silent', 'unknown'],
  ] as const) {
    const { detector, ends } = createDetector(outcome);
    const one = send('a');
    assert.is(await detector.onConnectionLost(one), verdict);
    assert.equal(ends, []);
    assert.is(detector.exitedAtMs, undefined);
  }
});

test('is asked for again at the next loss', async () => {
  const outcomes: ProbeOutcome[] = ['listening', 'refused'];
  const ends: number[] = [];
  const detector = new ExitDetector({
    probe: () => Promise.resolve(outcomes.shift() ?? 'silent'),
    onEnd: (lost) => ends.push(lost.length),
    onAlive: () => {},
  });
  assert.is(await detector.onConnectionLost(send('a')), 'listening');
  assert.is(await detector.onConnectionLost(send('b')), 'ended');
  assert.equal(ends, [1]);
});

// Symptom: a request is held back though no upstream ended. Sequence: a cut refuses connections to three
// upstreams, one after the other, and heals. Cause: behind a cut an upstream looks as if it had ended.
test('turns out not to have ended when it answers what was sent since', async () => {
  const { detector, countRevivals } = createDetector('refused');
  const lost = send('a');
  await detector.onConnectionLost(lost);
  detector.onResponseStarted(lost);
  assert.is(countRevivals(), 0, 'bytes on the way when it ended');
  detector.onResponseStarted({ ...send('b'), sentAtMs: performance.now() + 1 });
  assert.is(countRevivals(), 1);
  assert.is(detector.exitedAtMs, undefined);
});

test.run();

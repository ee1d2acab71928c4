/** How an upstream exit is distinguished from a closed connection. */
import { asId, type RequestDigest } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ProbeOutcome } from '../exchange/index.js';
import { ExitDetector, type InFlightRequest } from './exitDetector.js';

const test = suite('exit detector');

const send = (attemptId: string): InFlightRequest => ({
  attemptId,
  digest: asId<RequestDigest>(`digest-of-${attemptId}`),
  partDigests: [],
  sentAtMs: 0,
  beganAtMs: undefined,
  onHeld: () => {},
  onPathLost: () => {},
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
    onExit: (lost) => ends.push(lost.map(({ attemptId }) => attemptId).sort()),
    onAlive: () => {
      revivals += 1;
    },
  });
  return { detector, ends, countProbes: () => probes, countRevivals: () => revivals };
};

test('an exit is detected by one probe and reported once with all requests in flight', async () => {
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

test('a closed connection or an unreachable upstream is not reported as an exit', async () => {
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

test('the next lost request triggers another probe', async () => {
  const outcomes: ProbeOutcome[] = ['listening', 'refused'];
  const ends: number[] = [];
  const detector = new ExitDetector({
    probe: () => Promise.resolve(outcomes.shift() ?? 'silent'),
    onExit: (lost) => ends.push(lost.length),
    onAlive: () => {},
  });
  assert.is(await detector.onConnectionLost(send('a')), 'listening');
  assert.is(await detector.onConnectionLost(send('b')), 'ended');
  assert.equal(ends, [1]);
});

// Guards against a request held back though no upstream exited: a partition that refuses
// connections to three upstreams in turn and then heals makes them look as if they had exited.
test('a response to a later request reverts a reported exit', async () => {
  const { detector, countRevivals } = createDetector('refused');
  const lost = send('a');
  await detector.onConnectionLost(lost);
  detector.onResponseStarted(lost);
  assert.is(countRevivals(), 0, 'a response to an earlier request proves nothing');
  detector.onResponseStarted({ ...send('b'), sentAtMs: performance.now() + 1 });
  assert.is(countRevivals(), 1);
  assert.is(detector.exitedAtMs, undefined);
});

test.run();

/** Telling the part of prompts that crashes upstreams from the parts and requests that run beside it. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, createRandom, createSilentLogger, type RequestDigest } from '@snipehaven/common';
import { ANSWERED_HOLD_THRESHOLD } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { CrashMessage } from '../peers/index.js';
import type { PromptPart, Upstream } from '../types.js';
import type { InFlightRequest } from '../upstreams/index.js';
import {
  ANSWERED_FOR_MS,
  ANSWERED_HOLD_DELAY_MS,
  DOUBTFUL_PART_HOLD_THRESHOLD,
} from './constants.js';
import { CrashTracker } from './crashTracker.js';
import { digestSharedParts } from './requestDigest.js';

interface Context {
  clock: Clock;
  sent: CrashMessage[];
  tracker: CrashTracker;
}

const test = suite<Context>('crashing parts of prompts', {} as Context);

test.before.each((context) => {
  const sent: CrashMessage[] = [];
  const clock = FakeTimers.install();
  const tracker = new CrashTracker({
    logger: createSilentLogger(),
    listInFlight: () => [],
    random: createRandom(1),
    broadcast: (report) => sent.push(report),
  });
  Object.assign(context, { clock, sent, tracker });
});

test.after.each(({ clock }) => clock.uninstall());

const toParts = (ids: readonly string[]): readonly PromptPart[] =>
  ids.map((id) => ({ id, tokens: 10 }));

const digestPart = (id: string): RequestDigest => {
  const [digest] = digestSharedParts(toParts([id, 'own']));
  assert.ok(digest);
  return digest;
};

const FIRST = digestPart('first');
const BAD = digestPart('bad');
const OTHER_BAD = digestPart('otherBad');

let requests = 0;

/** A request of its own, with these shared parts. */
const send = (tracker: CrashTracker, ...partDigests: readonly RequestDigest[]): InFlightRequest => {
  requests += 1;
  tracker.noteRequest(partDigests);
  return {
    attemptId: `attempt ${requests}`,
    digest: asId<RequestDigest>(`request ${requests}`),
    partDigests,
    sentAtMs: 0,
    beganAtMs: undefined,
    onHeld: () => {},
    onPathLost: () => {},
  };
};

const crash = (
  tracker: CrashTracker,
  lifeId: string,
  lost: readonly InFlightRequest[],
  isExpected = false,
): void => tracker.recordExit({ upstream: { id: lifeId } as Upstream, lifeId, isExpected, lost });

const sendSound = (tracker: CrashTracker, count: number): void => {
  for (let sent = 0; sent < count; sent += 1) {
    send(tracker, FIRST);
  }
};

test('a part is held once upstreams crashed under three requests that share nothing else', ({
  tracker,
}) => {
  sendSound(tracker, 20);
  crash(tracker, 'u-1', [send(tracker, FIRST, BAD)]);
  crash(tracker, 'u-2', [send(tracker, FIRST, BAD)]);
  assert.is(tracker.findHold(BAD), undefined);
  crash(tracker, 'u-3', [send(tracker, FIRST, BAD)]);
  assert.equal(tracker.findHold(BAD)?.lives, ['u-1', 'u-2', 'u-3']);
  assert.is(tracker.findFirstHold([asId<RequestDigest>('new'), FIRST, BAD])?.digest, BAD);
});

// Guards against refusing sound requests for the part that all prompts begin with.
test('the part that sound requests share is not held for the crashes of another one', ({
  tracker,
}) => {
  sendSound(tracker, 20);
  for (let crashed = 1; crashed <= 9; crashed += 1) {
    crash(tracker, `u-${crashed}`, [send(tracker, FIRST), send(tracker, FIRST, BAD)]);
  }
  assert.ok(tracker.findHold(BAD));
  assert.is(tracker.findHold(FIRST), undefined);
});

const recordAnswer = (tracker: CrashTracker, ...suspects: readonly RequestDigest[]): void =>
  tracker.recordSuccess({ suspects, beganAtMs: performance.now() });

// Guards against a part that turned bad, and is excused by answers from before.
test('a part that was answered lately is held by crashes that come one after the other', ({
  tracker,
  clock,
}) => {
  sendSound(tracker, 20);
  recordAnswer(tracker, FIRST, BAD);
  for (let crashed = 1; crashed <= ANSWERED_HOLD_THRESHOLD; crashed += 1) {
    assert.is(tracker.findHold(BAD), undefined);
    clock.tick(Math.ceil(ANSWERED_HOLD_DELAY_MS / (ANSWERED_HOLD_THRESHOLD - 1)));
    const sentAtMs = performance.now() - 50;
    crash(tracker, `u-${crashed}`, [{ ...send(tracker, FIRST, BAD), sentAtMs }]);
  }
  assert.ok(tracker.findHold(BAD));
  assert.is(tracker.findHold(FIRST), undefined);
});

// Guards against a part that is held for one request which was repeated on each upstream that crashed.
test('a part that was answered lately is not held for the repeats of one request', ({
  tracker,
  clock,
}) => {
  sendSound(tracker, 20);
  recordAnswer(tracker, FIRST, BAD);
  const unlucky = send(tracker, FIRST, BAD);
  for (let crashed = 1; crashed <= 9; crashed += 1) {
    clock.tick(ANSWERED_HOLD_DELAY_MS);
    const sentAtMs = performance.now() - 50;
    crash(tracker, `u-${crashed}`, [{ ...unlucky, sentAtMs }]);
  }
  assert.is(tracker.findHold(BAD), undefined);
});

// Guards against refusing sound requests after a rack was lost under them.
test('a part that was answered lately is not held by crashes that come at once', ({
  tracker,
  clock,
}) => {
  sendSound(tracker, 20);
  recordAnswer(tracker, FIRST, BAD);
  clock.tick(100);
  for (let crashed = 1; crashed <= 9; crashed += 1) {
    crash(tracker, `u-${crashed}`, [send(tracker, FIRST, BAD)]);
    clock.tick(5);
  }
  assert.is(tracker.findHold(BAD), undefined);
  assert.is(tracker.findHold(FIRST), undefined);
});

// Guards against answers that end in a crash, and against those that began before the crashes.
test('an answer clears a part of the crashes before it began, and of no later ones', ({
  tracker,
  clock,
}) => {
  sendSound(tracker, 20);
  clock.tick(100);
  crash(tracker, 'u-1', [send(tracker, FIRST, BAD)]);
  clock.tick(100);
  const beganAtMs = performance.now();
  clock.tick(100);
  crash(tracker, 'u-2', [send(tracker, FIRST, BAD)]);
  tracker.recordSuccess({ suspects: [BAD], beganAtMs });
  assert.is(tracker.findMainSuspect([BAD]), undefined);
  clock.tick(ANSWERED_FOR_MS);
  assert.is(tracker.findMainSuspect([BAD])?.weight, 1);
});

// Guards against a sound part that stays held for the crashes of another one.
test('a part that is held first is released for one that more upstreams crashed under', ({
  tracker,
  clock,
}) => {
  const UNLUCKY = digestPart('unlucky');
  sendSound(tracker, 20);
  for (let sent = 0; sent < 3; sent += 1) {
    send(tracker, FIRST, BAD);
  }
  for (let crashed = 1; crashed <= 6; crashed += 1) {
    clock.tick(100);
    const beside = crashed <= 3 ? [send(tracker, FIRST, UNLUCKY)] : [];
    crash(tracker, `u-${crashed}`, [send(tracker, FIRST, BAD), ...beside]);
  }
  assert.ok(tracker.findHold(BAD));
  assert.is(tracker.findHold(UNLUCKY), undefined);
});

// Guards against refusing requests that were lost beside the crashing part three times by chance.
test('requests that ran beside a part that is held are no longer suspect', ({ tracker }) => {
  sendSound(tracker, 20);
  const unlucky = send(tracker, FIRST);
  const again = { ...unlucky, attemptId: 'again' };
  crash(tracker, 'u-1', [unlucky, send(tracker, FIRST, BAD)]);
  crash(tracker, 'u-2', [unlucky, send(tracker, FIRST, BAD)]);
  crash(tracker, 'u-3', [again, send(tracker, FIRST, BAD)]);
  assert.ok(tracker.findHold(BAD));
  assert.is(tracker.findHold(unlucky.digest), undefined);
  assert.is(tracker.findMainSuspect([unlucky.digest]), undefined);
});

test('two parts that crash the same upstreams are both held', ({ tracker }) => {
  sendSound(tracker, 40);
  for (let crashed = 1; crashed <= 6; crashed += 1) {
    const bad = crashed % 2 === 0 ? BAD : OTHER_BAD;
    crash(tracker, `u-${crashed}`, [send(tracker, FIRST, bad)]);
  }
  assert.ok(tracker.findHold(BAD));
  assert.ok(tracker.findHold(OTHER_BAD));
});

// Guards against refusing nearly all requests after several upstreams were lost at once.
test('a part of most requests takes more crashes', ({ tracker }) => {
  sendSound(tracker, 20);
  for (let crashed = 1; crashed < DOUBTFUL_PART_HOLD_THRESHOLD; crashed += 1) {
    crash(tracker, `u-${crashed}`, [send(tracker, FIRST), send(tracker, FIRST)]);
  }
  assert.is(tracker.findHold(FIRST), undefined);
  assert.is(tracker.findMainSuspect([FIRST]), undefined);
});

test('upstreams that leave are half as much evidence', ({ tracker }) => {
  sendSound(tracker, 20);
  for (let left = 1; left <= 5; left += 1) {
    crash(tracker, `u-${left}`, [send(tracker, FIRST, BAD)], true);
  }
  assert.is(tracker.findHold(BAD), undefined);
});

test('prompts of hundreds of parts add a bounded number of suspects', () => {
  const ids = Array.from({ length: 900 }, (_, index) => `part ${index}`);
  const digests = digestSharedParts(toParts(ids));
  assert.is(digests.length, 32);
  assert.is(digests[0], digestPart('part 0'));
  assert.is(digests.at(-1), digestPart('part 898'));
});

test('the last part belongs to the request alone, and digests reveal no id', () => {
  assert.equal(digestSharedParts(toParts(['own'])), []);
  assert.equal(digestSharedParts([]), []);
  assert.match(BAD, /^part-[\w-]{22}$/);
});

test.run();

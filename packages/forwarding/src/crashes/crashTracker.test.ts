/** Holding back requests under suspicion, from own observations and reports of other daemons. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, createRandom, createSilentLogger, type RequestDigest } from '@snipehaven/common';
import { ANSWERED_HOLD_THRESHOLD, HOLD_MS } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { EMPTY_CRASH_MESSAGE, type CrashMessage } from '../peers/index.js';
import type { Upstream } from '../types.js';
import type { InFlightRequest, UpstreamExit } from '../upstreams/index.js';
import { CrashTracker } from './crashTracker.js';
import { ANSWERED_FOR_MS, ANSWERED_HOLD_DELAY_MS, MAX_HELD } from './constants.js';

interface Context {
  clock: Clock;
  sentReports: CrashMessage[];
  tracker: CrashTracker;
}

const test = suite<Context>('crash tracker', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install();
  context.sentReports = [];
  const broadcast = (report: CrashMessage) => context.sentReports.push(report);
  context.tracker = new CrashTracker({
    logger: createSilentLogger(),
    listInFlight: () => [],
    random: createRandom(1),
    broadcast,
  });
});

test.after.each(({ clock }) => clock.uninstall());

let attempts = 0;

const A = asId<RequestDigest>('a');
const B = asId<RequestDigest>('b');

const createAttemptId = (): string => {
  attempts += 1;
  return `attempt ${attempts}`;
};

const send = (digest: RequestDigest, beganAtMs?: number): InFlightRequest => ({
  attemptId: createAttemptId(),
  digest,
  partDigests: [],
  sentAtMs: 0,
  beganAtMs,
  onHeld: () => {},
  onPathLost: () => {},
});

const createEnd = (
  lifeId: string,
  lost: readonly InFlightRequest[],
  isExpected = false,
): UpstreamExit => ({
  upstream: { id: lifeId } as Upstream,
  lifeId,
  isExpected,
  lost,
});

const recordAnswer = (tracker: CrashTracker, digest: RequestDigest): void =>
  tracker.recordSuccess({ suspects: [digest], beganAtMs: performance.now() });

const tellsAnswerTo =
  (wanted: RequestDigest) =>
  ({ answered }: CrashMessage): boolean =>
    answered.some(({ digest }) => digest === wanted);

const reportEnds = (digest: RequestDigest, ...lives: readonly string[]): CrashMessage => ({
  ...EMPTY_CRASH_MESSAGE,
  ends: lives.map((lifeId) => ({
    lifeId,
    suspects: [{ digest, attemptId: `at ${lifeId}`, suspicion: 'strong' }],
  })),
});

test('counts own observations together with reports of others, and sends only its own', ({
  tracker,
  sentReports,
}) => {
  tracker.recordExit(createEnd('u-1', [send(A), send(B)]));
  tracker.receiveReport(reportEnds(A, 'u-1', 'u-2'));
  assert.is(tracker.findHold(A), undefined);
  tracker.recordExit(createEnd('u-3', [send(A)]));
  assert.equal(tracker.findHold(A)?.lives, ['u-1', 'u-2', 'u-3']);
  assert.is(tracker.findHold(B), undefined);
  assert.equal(
    sentReports.map(({ ends }) => ends.map(({ lifeId, suspects }) => [lifeId, suspects.length])),
    [[['u-1', 2]], [['u-3', 1]]],
  );
});

test('releases a request when it is answered, its hold expires, or its upstreams are alive', ({
  tracker,
  clock,
}) => {
  tracker.receiveReport(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  tracker.receiveReport({ ...EMPTY_CRASH_MESSAGE, answered: [{ digest: A, beganAgoMs: 0 }] });
  assert.is(tracker.findHold(A), undefined);
  tracker.receiveReport(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  assert.is(tracker.findHold(A), undefined, 'reported again after the answer');
  tracker.receiveReport(reportEnds(A, 'u-4', 'u-5', 'u-6'));
  tracker.receiveReport({ ...EMPTY_CRASH_MESSAGE, alive: ['u-5'] });
  assert.is(tracker.findHold(A), undefined);
  clock.tick(ANSWERED_FOR_MS);
  tracker.receiveReport(reportEnds(A, 'u-7', 'u-8', 'u-9'));
  clock.tick(HOLD_MS - 1);
  assert.ok(tracker.findHold(A));
  clock.tick(1);
  assert.is(tracker.findHold(A), undefined);
});

// Guards against counting only evidence against a request. An occasional lookup was refused after
// it had been lost four times in some minutes, in four incarnations of an unstable upstream, although it
// was answered each time afterwards.
test('answers between the crashes clear a request and are reported', ({
  tracker,
  sentReports,
  clock,
}) => {
  ['u-1', 'u-2', 'u-3', 'u-4'].forEach((life) => {
    tracker.recordExit(createEnd(life, [send(A)]));
    recordAnswer(tracker, A);
    clock.tick(ANSWERED_FOR_MS);
  });
  assert.is(tracker.findHold(A), undefined);
  assert.is(sentReports.filter(tellsAnswerTo(A)).length, 4);
  assert.ok(tracker.isEmpty);
});

// Guards against blaming a popular question for minutes. Two harmful requests crash six upstreams in
// two seconds, with the question running on each of them; it was answered a hundred times in the
// minute before, but no evidence between the crashes cleared it.
test('a request answered shortly before is not held for crashes that came at once, and others are told', ({
  tracker,
  sentReports,
  clock,
}) => {
  clock.tick(1_000);
  recordAnswer(tracker, A);
  clock.tick(1);
  ['u-1', 'u-2', 'u-3', 'u-4', 'u-5', 'u-6'].forEach((life) =>
    tracker.recordExit(createEnd(life, [send(A), send(B)])),
  );
  assert.is(tracker.findHold(A), undefined);
  assert.ok(tracker.findHold(B));
  clock.tick(1_000);
  assert.is(sentReports.filter(tellsAnswerTo(A)).length, 1);
  const times = { sinceMs: performance.now(), untilMs: performance.now() + HOLD_MS };
  tracker.applyStoredHold({ digest: A, lives: ['u-1', 'u-2', 'u-3'], ...times });
  assert.ok(tracker.findHold(A), 'held back by others');
  clock.tick(1_000);
  assert.is(tracker.findHold(A), undefined);
  assert.ok(tracker.findHold(B));
});

// Guards against excusing for a minute what crashes upstreams since its last answer.
test('a request answered shortly before is held once upstreams crash under it one after the other', ({
  tracker,
  clock,
}) => {
  recordAnswer(tracker, A);
  for (let crashed = 1; crashed <= ANSWERED_HOLD_THRESHOLD; crashed += 1) {
    assert.is(tracker.findHold(A), undefined);
    clock.tick(Math.ceil(ANSWERED_HOLD_DELAY_MS / (ANSWERED_HOLD_THRESHOLD - 1)));
    const request = { ...send(A), sentAtMs: performance.now() - 100 };
    tracker.recordExit(createEnd(`u-${crashed}`, [request]));
  }
  assert.ok(tracker.findHold(A));
});

// Guards against daemons that take an answer of the time before the crashes for one since.
test('an answer that began before the crashes does not release a request that a row holds', ({
  tracker,
  clock,
}) => {
  clock.tick(1_000);
  const times = { sinceMs: 1_000, untilMs: HOLD_MS };
  tracker.applyStoredHold({ digest: A, lives: ['u-1', 'u-2', 'u-3'], ...times });
  const early = { digest: A, beganAgoMs: 900 };
  tracker.receiveReport({ ...EMPTY_CRASH_MESSAGE, answered: [early] });
  assert.ok(tracker.findHold(A));
  tracker.receiveReport({ ...EMPTY_CRASH_MESSAGE, answered: [{ digest: A, beganAgoMs: 0 }] });
  assert.is(tracker.findHold(A), undefined);
});

test('an answer makes a request harder to hold for a limited time only', ({ tracker, clock }) => {
  recordAnswer(tracker, A);
  clock.tick(ANSWERED_FOR_MS);
  ['u-1', 'u-2', 'u-3'].forEach((life) => tracker.recordExit(createEnd(life, [send(A)])));
  assert.ok(tracker.findHold(A));
});

// Guards against daemons that all report a cleared request at once and flood each other, without
// checking whether it was reported already.
test('a request that another daemon reported as cleared is not reported again', ({
  tracker,
  sentReports,
  clock,
}) => {
  recordAnswer(tracker, A);
  tracker.receiveReport(reportEnds(A, 'u-1', 'u-2', 'u-3'));
  tracker.receiveReport({ ...EMPTY_CRASH_MESSAGE, answered: [{ digest: A, beganAgoMs: 0 }] });
  clock.tick(1_000);
  assert.equal(sentReports, []);
});

test('the answer to a request without suspicion is not reported', ({
  tracker,
  sentReports,
  clock,
}) => {
  recordAnswer(tracker, A);
  clock.tick(1_000);
  assert.equal(sentReports, []);
});

test('requests that ran for long, or whose upstream was leaving, get half the blame', ({
  tracker,
  clock,
}) => {
  clock.tick(5_000);
  ['u-1', 'u-2', 'u-3'].forEach((life) => {
    tracker.recordExit(createEnd(life, [send(A, 100), send(B)], life === 'u-3'));
  });
  assert.is(tracker.findMainSuspect([A])?.weight ?? 0, 1.5);
  assert.is(tracker.findMainSuspect([B])?.weight ?? 0, 2.5);
});

test('the number of requests held back is limited by releasing the oldest', ({ tracker }) => {
  for (let index = 0; index <= MAX_HELD; index += 1) {
    tracker.receiveReport(reportEnds(asId<RequestDigest>(`d-${index}`), 'u-1', 'u-2', 'u-3'));
  }
  assert.is(tracker.heldCount, MAX_HELD);
  assert.is(tracker.findHold(asId<RequestDigest>('d-0')), undefined);
  assert.ok(tracker.findHold(asId<RequestDigest>(`d-${MAX_HELD}`)));
});

test.run();

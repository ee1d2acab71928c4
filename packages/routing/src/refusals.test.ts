import { install, type Clock } from '@sinonjs/fake-timers';
import { asId, createRandom, setInvariantsFatal, type TeamId } from '@snipehaven/common';
import { UpstreamNotStartedError } from '@snipehaven/upstream';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { AdmissionController } from './admissionController.js';
import { Refusal } from './refusal.js';
import { RequestSignal } from './requestSignal.js';
import { RunTracker } from './runTracker.js';

setInvariantsFatal(true);

const DEADLINE_MS = 5_000;

const test = suite('refusals');
let clock: Clock;

test.before.each(() => {
  clock = install({ now: 1_000_000 });
});

test.after.each(() => {
  clock.uninstall();
});

const refused = new UpstreamNotStartedError('refused');

test('derives the verdict from the dispatches alone', () => {
  // One dispatch is refused while another is lost or was seen running. The verdict of a request
  // that ran would become `notRun` if the last dispatch alone decided, or if a late refusal
  // overrode an observed run.
  const tracker = new RunTracker();
  assert.is(tracker.getVerdict(), 'notRun');
  const first = tracker.startDispatch();
  assert.is(tracker.getVerdict(), 'unknown');
  first.markNotRun(refused);
  assert.is(tracker.getVerdict(), 'notRun');
  const second = tracker.startDispatch();
  tracker.startDispatch().markNotRun(refused);
  assert.is(tracker.getVerdict(), 'unknown', 'one dispatch is lost');
  second.markRunning();
  second.markNotRun(refused);
  assert.is(tracker.getVerdict(), 'ran', 'an observed run is not overridden');
});

test('reports that an earlier request with the same key may have run', () => {
  const tracker = new RunTracker();
  assert.is(new Refusal('inProgress', '', tracker).verdict, 'unknown');
  assert.is(new Refusal('outcomeUnknown', '', tracker).verdict, 'unknown');
  assert.is(new Refusal('differentBody', '', tracker).verdict, 'notRun');
  assert.is(new Refusal('outcomeUnknown', '', tracker).retryAfterMs, undefined);
  assert.ok((new Refusal('overloaded', '', tracker).retryAfterMs ?? 0) > 0);
});

const toAdmission = (id: string): Parameters<AdmissionController['admit']>[0] => ({
  id,
  team: asId<TeamId>('alpha'),
  weight: 1,
  priority: 5,
  cost: 1,
  arrivedAtMs: Date.now(),
  deadlineAtMs: Date.now() + DEADLINE_MS,
});

test('admits, queues, and refuses at once with a retry delay', async () => {
  const controller = new AdmissionController(
    () => ({ maxRunning: 1, maxQueued: 1 }),
    createRandom(1),
  );
  const { signal } = new AbortController();
  const first = await controller.admit(toAdmission('a'), signal);
  assert.is(first.kind, 'admitted');
  const leaving = new AbortController();
  const second = controller.admit(toAdmission('b'), leaving.signal);
  const third = await controller.admit(toAdmission('c'), signal);
  assert.is(third.kind, 'refused');
  assert.ok(third.kind === 'refused' && third.retryAfterMs > 0);
  leaving.abort();
  assert.is((await second).kind, 'callerGone');
  assert.equal([controller.running, controller.queued], [1, 0]);
  const next = controller.admit(toAdmission('d'), signal);
  if (first.kind === 'admitted') {
    first.release();
    first.release();
  }
  assert.is((await next).kind, 'admitted');
  assert.equal([controller.running, controller.queued], [1, 0], 'a slot is released only once');
  const late = controller.admit(toAdmission('e'), signal);
  await clock.tickAsync(DEADLINE_MS + 1);
  assert.is((await late).kind, 'refused');
  assert.equal([controller.running, controller.queued], [1, 0]);
});

test('distinguishes a deadline from a disconnect and keeps the first reason', () => {
  const caller = new AbortController();
  const timed = new RequestSignal(Date.now() + DEADLINE_MS, caller.signal);
  const detached = new RequestSignal(Date.now() + DEADLINE_MS, caller.signal);
  detached.detachCaller();
  caller.abort();
  assert.equal([timed.reason, detached.reason], ['callerGone', undefined]);
  assert.is(new RequestSignal(Date.now() + 1, caller.signal).reason, 'callerGone');
  clock.tick(DEADLINE_MS);
  assert.equal([timed.reason, detached.reason], ['callerGone', 'deadline']);
  assert.ok(detached.signal.aborted);
});

test.run();

/** Which version a request goes to, whatever the order in which rows of the store arrive. */
import { createSilentLogger } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { StoreClock, readClocks } from '../configuration/storeClock.js';
import { NO_ROLLOUT_COUNTS, type RolloutCounts } from '../peers/index.js';
import type { RequestOptions, RolloutOrder } from '../types.js';
import { RolloutTracker } from './rolloutTracker.js';
import { createEntry } from './testSupport/simulatedDaemon.js';
import type { RolloutStatus } from './types.js';

const ORDER: RolloutOrder = { service: 's', toVersion: 'v2', durationMs: 20_000 };
const at = (version: number, era = 1) => ({ era, version });

const ORDER_REVISION = at(7);

const OLD = createEntry('v1');
const NEW = createEntry('v2');

const createStatus = (
  state: RolloutStatus['state'],
  orderRevision = ORDER_REVISION,
): RolloutStatus => ({
  service: 's',
  toVersion: 'v2',
  state,
  orderRevision,
  afterStoreMs: 0,
  beforeStoreMs: 0,
});

const createTracker = (
  eraAgeMs = Infinity,
  peerCounts: RolloutCounts | undefined = undefined,
): RolloutTracker => {
  const freshness = new Freshness();
  freshness.confirm({ asked: readClocks(), serverTimeMs: 0 });
  return new RolloutTracker({
    logger: createSilentLogger(),
    vm: 'vm',
    freshness,
    clock: new StoreClock(),
    storeEra: { ageMs: eraAgeMs },
    sessionTtlMs: 5_000,
    allowedExposure: 0.15,
    exposureSlack: 0,
    countSessionMove: () => {},
    findPeerCounts: () => peerCounts,
    countUpstreams: () => new Map([['a', 1]]),
    hasEvacuatedUpstreams: () => false,
  });
};

const createOptions = (attemptId: string, session?: string): RequestOptions => ({
  attemptId,
  promptTokens: 0,
  maxOutputTokens: 0,
  promptParts: [],
  ...(session === undefined ? {} : { session }),
});

const filterIds = (tracker: RolloutTracker, attemptId = 'a', session?: string): string[] =>
  tracker.filterUpstreams('s', createOptions(attemptId, session), [OLD, NEW]).map(({ id }) => id);

// Guards against a service without upstreams after a restart: a daemon reads the status table
// before the operator's table, and dropped the status of an order that it did not know yet. Each
// row is read only once.
test('a status that arrives before its order is applied', () => {
  const tracker = createTracker();
  tracker.applyStatus(createStatus('completed'), at(9));
  tracker.applyOrder(ORDER, ORDER_REVISION, undefined);
  assert.equal(filterIds(tracker), ['v2']);
});

test('a status of an earlier order does not apply to this one', () => {
  const tracker = createTracker();
  tracker.applyStatus(createStatus('completed', at(3)), at(4));
  tracker.applyOrder(ORDER, ORDER_REVISION, undefined);
  assert.equal(filterIds(tracker), ['v1']);
});

test('a starting daemon does not take a finished order for a new one', () => {
  const tracker = createTracker();
  assert.ok(tracker.isStateKnown);
  tracker.applyOrder(ORDER, ORDER_REVISION, undefined);
  assert.not(tracker.isStateKnown);
  const names = Array.from({ length: 400 }, (_, index) => `name ${index}`);
  assert.ok(names.every((name) => filterIds(tracker, name)[0] === 'v1'));
  tracker.applyStatus(createStatus('completed'), at(9));
  tracker.noteStatusesRead();
  assert.ok(tracker.isStateKnown);
  assert.ok(names.every((name) => filterIds(tracker, name)[0] === 'v2'));
});

test('after a roll-back no request goes to the new version, even if no other upstream is left', () => {
  const tracker = createTracker();
  tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  tracker.applyStatus(createStatus('rolledBack'), at(9));
  assert.equal(filterIds(tracker), ['v1']);
  assert.equal(tracker.filterUpstreams('s', createOptions('a'), [NEW]), []);
});

test('in the first phase a few requests go to the new version, but no session', () => {
  const tracker = createTracker();
  tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  const names = Array.from({ length: 400 }, (_, index) => `name ${index}`);
  const share = names.filter((name) => filterIds(tracker, name)[0] === 'v2').length / names.length;
  assert.ok(share > 0.02 && share < 0.12, String(share));
  const first = names.map((name) => filterIds(tracker, 'a', name)[0]);
  assert.ok(first.every((id) => id === 'v1'));
  assert.equal(
    names.map((name) => filterIds(tracker, 'b', name)[0]),
    first,
  );
});

const getState = (tracker: RolloutTracker) => [...tracker.rollouts].map(({ state }) => state);

// Guards against a bad version that gets its share once more because its order was written again.
test('an order that is written again in a later era keeps its outcome', () => {
  for (const status of [createStatus('rolledBack', at(7)), createStatus('rolledBack', at(7, 2))]) {
    const tracker = createTracker(1_000);
    tracker.applyOrder(ORDER, at(7), 0);
    tracker.applyStatus(createStatus('rolledBack'), at(9));
    tracker.applyOrder(ORDER, at(3, 2), 0);
    tracker.retainStatuses([], 2);
    tracker.applyOrder(ORDER, at(7, 2), 0);
    assert.equal(getState(tracker), ['rolledBack']);
    tracker.applyStatus(status, at(8, 2));
    assert.equal(getState(tracker), ['rolledBack']);
  }
});

// Guards against an order that inherits the outcome of another one with the same version.
test('a version that was given out again does not make two orders one', () => {
  const tracker = createTracker(1_000);
  tracker.applyOrder(ORDER, at(7), 0);
  tracker.applyStatus(createStatus('rolledBack'), at(9));
  tracker.applyOrder({ ...ORDER, toVersion: 'v3' }, at(7, 2), 0);
  assert.equal(getState(tracker), ['running']);
  tracker.applyStatus(createStatus('rolledBack'), at(6, 2));
  assert.equal(getState(tracker), ['running']);
});

test('the same version may be ordered again, and does not inherit the earlier outcome', () => {
  const tracker = createTracker();
  tracker.applyOrder(ORDER, at(7, 2), 0);
  tracker.applyStatus(createStatus('rolledBack', at(5)), at(4, 2));
  assert.equal(getState(tracker), ['rolledBack']);
  tracker.applyOrder(ORDER, at(12, 2), 0);
  assert.equal(getState(tracker), ['running']);
});

// Guards against an outcome that a whole read of the table brings back to a later order.
test('a status of an earlier order stays one when the store reports it once more', () => {
  const tracker = createTracker();
  const status = createStatus('rolledBack', at(5));
  tracker.applyOrder(ORDER, at(7, 2), 0);
  tracker.applyStatus(status, at(4, 2));
  tracker.applyOrder(ORDER, at(12, 2), 0);
  tracker.applyStatus(status, at(4, 2));
  assert.equal(getState(tracker), ['running']);
});

test('a daemon that starts after a return takes the status of the copy for that of the order', () => {
  const tracker = createTracker();
  tracker.applyStatus(createStatus('completed', at(7)), at(9, 2));
  tracker.applyOrder(ORDER, at(7, 2), undefined);
  assert.equal(getState(tracker), ['completed']);
});

test('an order of the copy that is written again all the same keeps its outcome', () => {
  const tracker = createTracker(1_000);
  tracker.applyStatus(createStatus('completed', at(7)), at(9, 2));
  tracker.applyOrder(ORDER, at(7, 2), undefined);
  tracker.applyOrder(ORDER, at(12, 2), undefined);
  assert.equal(getState(tracker), ['completed']);
});

// Guards against conditions that never hold, as versions went back.
test('a status that the store lost is expected to be missing at the next write', () => {
  const tracker = createTracker(1_000);
  tracker.applyOrder(ORDER, at(7), 0);
  tracker.applyStatus(createStatus('completed'), at(9));
  tracker.retainStatuses([], 2);
  const [rollout] = tracker.rollouts;
  assert.ok(rollout?.isStatusLost);
  assert.equal(rollout?.statusRevision, at(0, 2));
  tracker.applyStatus(createStatus('running'), at(5, 2));
  assert.equal(rollout?.statusRevision, at(5, 2));
  assert.is(rollout?.state, 'completed');
  assert.not(rollout?.isStoredStateFinal);
});

test('a version is not judged by the rows of daemons with bad answers while all daemons are heard', () => {
  const tracker = createTracker(Infinity, {
    ...NO_ROLLOUT_COUNTS,
    candidate: { answers: 38, bad: 3 },
    present: { answers: 170, bad: 12 },
  });
  tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  ['vm-1', 'vm-2', 'vm-3'].forEach((vm) =>
    tracker.addEvidence({
      service: 's',
      vm,
      orderRevision: ORDER_REVISION,
      candidate: { answers: 4, bad: 1 },
      present: { answers: 10, bad: 0 },
    }),
  );
  assert.is(tracker.findObservedRollout('s')?.stage, 'trying');
});

test.run();

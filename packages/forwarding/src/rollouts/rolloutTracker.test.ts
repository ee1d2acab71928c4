/** Which version a request goes to, whatever the order in which rows of the store arrive. */
import { createSilentLogger } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { StoreClock, readClocks } from '../configuration/storeClock.js';
import type { RequestOptions, RolloutOrder } from '../types.js';
import { RolloutTracker } from './rolloutTracker.js';
import { createEntry } from './testSupport/simulatedDaemon.js';
import type { RolloutStatus } from './types.js';

const ORDER: RolloutOrder = { service: 's', toVersion: 'v2', durationMs: 20_000 };
const ORDER_VERSION = 7;

const OLD = createEntry('v1');
const NEW = createEntry('v2');

const createStatus = (
  state: RolloutStatus['state'],
  orderVersion = ORDER_VERSION,
): RolloutStatus => ({
  service: 's',
  toVersion: 'v2',
  state,
  orderVersion,
  afterStoreMs: 0,
  beforeStoreMs: 0,
});

const createTracker = (): RolloutTracker => {
  const freshness = new Freshness();
  freshness.confirm({ asked: readClocks(), serverTimeMs: 0 });
  return new RolloutTracker({
    logger: createSilentLogger(),
    vm: 'vm',
    freshness,
    clock: new StoreClock(),
    sessionTtlMs: 5_000,
    allowedExposure: 0.15,
    countSessionMove: () => {},
    findPeerCounts: () => undefined,
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
  tracker.applyStatus(createStatus('completed'), 9);
  tracker.applyOrder(ORDER, ORDER_VERSION, undefined);
  assert.equal(filterIds(tracker), ['v2']);
});

test('a status of an earlier order does not apply to this one', () => {
  const tracker = createTracker();
  tracker.applyStatus(createStatus('completed', 3), 4);
  tracker.applyOrder(ORDER, ORDER_VERSION, undefined);
  assert.equal(filterIds(tracker), ['v1']);
});

test('a starting daemon does not take a finished order for a new one', () => {
  const tracker = createTracker();
  assert.ok(tracker.isStateKnown);
  tracker.applyOrder(ORDER, ORDER_VERSION, undefined);
  assert.not(tracker.isStateKnown);
  const names = Array.from({ length: 400 }, (_, index) => `name ${index}`);
  assert.ok(names.every((name) => filterIds(tracker, name)[0] === 'v1'));
  tracker.applyStatus(createStatus('completed'), 9);
  tracker.noteStatusesRead();
  assert.ok(tracker.isStateKnown);
  assert.ok(names.every((name) => filterIds(tracker, name)[0] === 'v2'));
});

test('after a roll-back no request goes to the new version, even if no other upstream is left', () => {
  const tracker = createTracker();
  tracker.applyOrder(ORDER, ORDER_VERSION, 0);
  tracker.applyStatus(createStatus('rolledBack'), 9);
  assert.equal(filterIds(tracker), ['v1']);
  assert.equal(tracker.filterUpstreams('s', createOptions('a'), [NEW]), []);
});

test('in the first phase a few requests go to the new version, but no session', () => {
  const tracker = createTracker();
  tracker.applyOrder(ORDER, ORDER_VERSION, 0);
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

test.run();

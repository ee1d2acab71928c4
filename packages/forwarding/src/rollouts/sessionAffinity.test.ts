/** Sessions keep their version while a roll-out moves requests to another one. */
import { createSilentLogger } from '@snipehaven/common';
import { install, type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Freshness } from '../configuration/freshness.js';
import { StoreClock, readClocks } from '../configuration/storeClock.js';
import type { RequestOptions, RolloutOrder } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';
import { RolloutTracker } from './rolloutTracker.js';
import { createEntry } from './testSupport/simulatedDaemon.js';

const ORDER: RolloutOrder = { service: 's', toVersion: 'v2', durationMs: 20_000 };
const at = (version: number) => ({ era: 1, version });

const ORDER_REVISION = at(7);
const NEXT_REVISION = at(8);
const SESSION_TTL_MS = 5_000;
const HALF_MS = ORDER.durationMs / 2;
const SESSIONS = Array.from({ length: 500 }, (_, index) => `session ${index}`);

const V1 = createEntry('v1');
const V2 = createEntry('v2');
const V3 = createEntry('v3');

interface Context {
  clock: Clock;
  freshness: Freshness;
  tracker: RolloutTracker;
  /** Roll-out state of another daemon. */
  other: RolloutTracker;
  evacuatedVersions: Set<string>;
}

const createTracker = (
  vm: string,
  freshness: Freshness,
  evacuatedVersions: ReadonlySet<string>,
): RolloutTracker =>
  new RolloutTracker({
    logger: createSilentLogger(),
    vm,
    freshness,
    clock: new StoreClock(),
    sessionTtlMs: SESSION_TTL_MS,
    allowedExposure: 0.15,
    exposureSlack: 0,
    countSessionMove: () => {},
    findPeerCounts: () => undefined,
    countUpstreams: () => new Map([['a', 1]]),
    hasEvacuatedUpstreams: (_, softwareVersion) => evacuatedVersions.has(softwareVersion),
  });

const test = suite<Context>('sessions keep their version');

test.before.each((context) => {
  context.clock = install();
  context.freshness = new Freshness();
  context.freshness.confirm({ asked: readClocks(), serverTimeMs: performance.now() });
  context.evacuatedVersions = new Set();
  context.tracker = createTracker('vm', context.freshness, context.evacuatedVersions);
  context.other = createTracker('other', context.freshness, context.evacuatedVersions);
});

test.after.each(({ clock }) => clock.uninstall());

const createOptions = (session: string): RequestOptions => ({
  attemptId: session,
  session,
  promptTokens: 0,
  maxOutputTokens: 0,
  promptParts: [],
});

/** Runs a request of each session and returns its version; undefined if it may go nowhere. */
const runAll = (
  tracker: RolloutTracker,
  entries: UpstreamEntry[],
): ReadonlyMap<string, string | undefined> =>
  new Map(
    SESSIONS.map((session) => {
      const [entry] = tracker.filterUpstreams('s', createOptions(session), entries);
      if (entry !== undefined) {
        const { softwareVersion } = entry.upstream;
        tracker.recordSessionRun({ service: 's', session, softwareVersion, request: session });
      }
      return [session, entry?.upstream.softwareVersion];
    }),
  );

/** Advances the clock, with the store in contact. */
const advance = ({ clock, freshness }: Context, ms: number): void => {
  clock.tick(ms);
  freshness.confirm({ asked: readClocks(), serverTimeMs: performance.now() });
};

const listMoved = (
  before: ReadonlyMap<string, string | undefined>,
  after: ReadonlyMap<string, string | undefined>,
): readonly string[] => SESSIONS.filter((session) => before.get(session) !== after.get(session));

test('a session that began before the order does not move at once', (context) => {
  const before = runAll(context.tracker, [V1]);
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  advance(context, 500);
  assert.equal(listMoved(before, runAll(context.tracker, [V1, V2])), []);
});

test('a session does not move when upstreams of the new version are first listed', (context) => {
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  const before = runAll(context.tracker, [V1]);
  advance(context, 1_000);
  assert.equal(listMoved(before, runAll(context.tracker, [V1, V2])), []);
});

test('a session does not move when upstreams of the new version are missing for a moment', (context) => {
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  const before = runAll(context.tracker, [V1, V2]);
  advance(context, 1_000);
  const without = runAll(context.tracker, [V1]);
  assert.equal(listMoved(before, without), []);
  advance(context, 1_000);
  assert.equal(listMoved(without, runAll(context.tracker, [V1, V2])), []);
});

test('a session on the version of the last order does not move to that of the next at once', (context) => {
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  advance(context, ORDER.durationMs * 0.95);
  const before = runAll(context.tracker, [V1, V2]);
  context.tracker.applyOrder({ ...ORDER, toVersion: 'v3' }, NEXT_REVISION, 0);
  advance(context, 500);
  assert.equal(listMoved(before, runAll(context.tracker, [V2, V3])), []);
});

test('a new order moves no session to a leftover upstream of the version before last', (context) => {
  const status = { service: 's', toVersion: 'v2', afterStoreMs: 0, beforeStoreMs: 0 };
  const completed = { ...status, state: 'completed' as const, orderRevision: ORDER_REVISION };
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  context.tracker.applyStatus(completed, at(9));
  const before = runAll(context.tracker, [V1, V2]);
  const next = { ...ORDER, toVersion: 'v3' };
  context.tracker.applyOrder(next, NEXT_REVISION, 0);
  assert.equal(listMoved(before, runAll(context.tracker, [V1, V2, V3])), []);
  context.other.applyOrder(next, NEXT_REVISION, undefined);
  const running = { ...status, toVersion: 'v3', state: 'running' as const, fromVersion: 'v2' };
  context.other.applyStatus({ ...running, orderRevision: NEXT_REVISION }, at(10));
  assert.equal(listMoved(before, runAll(context.other, [V1, V2, V3])), []);
});

test('sessions do not move in the first half when the order was learned late', (context) => {
  const learnedLateMs = 6_000;
  context.tracker.applyOrder(ORDER, ORDER_REVISION, learnedLateMs);
  const first = runAll(context.tracker, [V1, V2]);
  for (let passedMs = 0; passedMs < HALF_MS - 2_000; passedMs += 2_000) {
    advance(context, 2_000);
    assert.equal(listMoved(first, runAll(context.tracker, [V1, V2])), [], `after ${passedMs} ms`);
  }
});

test('sessions do not return to the old version while the upstreams of the new one are evacuated', (context) => {
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  advance(context, ORDER.durationMs * 0.85);
  const before = runAll(context.tracker, [V1, V2]);
  context.evacuatedVersions.add('v2');
  advance(context, 1_000);
  const during = runAll(context.tracker, [V1]);
  assert.ok([...during.values()].every((version) => version === undefined));
  const [session = ''] = SESSIONS;
  const waitMs = context.tracker.findSessionExpiryWaitMs('s', createOptions(session), [V1]);
  assert.is(waitMs, SESSION_TTL_MS - 1_000);
  context.evacuatedVersions.clear();
  assert.equal(listMoved(before, runAll(context.tracker, [V1, V2])), []);
});

test('requests of expired sessions run on the old version while the upstreams of the new one are evacuated', (context) => {
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  advance(context, ORDER.durationMs * 0.7);
  runAll(context.tracker, [V1, V2]);
  context.evacuatedVersions.add('v2');
  advance(context, SESSION_TTL_MS);
  const after = runAll(context.tracker, [V1]);
  assert.ok([...after.values()].every((version) => version === 'v1'));
});

test('a jump of the wall clock moves no session back', (context) => {
  context.tracker.applyOrder(ORDER, ORDER_REVISION, 0);
  context.other.applyOrder(ORDER, ORDER_REVISION, 0);
  advance(context, ORDER.durationMs * 0.7);
  const before = runAll(context.tracker, [V1, V2]);
  runAll(context.other, [V1, V2]);
  context.clock.setSystemTime(Date.now() + 20_000);
  context.clock.tick(SESSION_TTL_MS + 1);
  assert.equal(listMoved(before, runAll(context.other, [V1, V2])), []);
});

test.run();

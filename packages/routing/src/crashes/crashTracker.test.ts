/** Counting of engine crashes per chat across daemons. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, type RequestDigest, type UpstreamId } from '@snipehaven/common';
import { HOLD_MS } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { CrashTracker } from './crashTracker.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('crash tracker', {} as Context);

const START_MS = 1_700_000_000_000;

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: START_MS });
});

test.after.each(({ clock }) => clock.uninstall());

const DIGEST = asId<RequestDigest>('a');

let requestCount = 0;

const crashEngine = (tracker: CrashTracker, upstream: string): void => {
  requestCount += 1;
  tracker.recordCrash({
    digest: DIGEST,
    requestId: `request-${requestCount}`,
    upstream: asId<UpstreamId>(upstream),
    answeredForMs: undefined,
    isEndExpected: false,
  });
};

const gossip = (from: CrashTracker, to: CrashTracker): void => {
  const payload = from.getPayload();
  if (payload !== undefined) {
    to.mergePayload(JSON.parse(JSON.stringify(payload)));
  }
};

test('three crashes hold a chat regardless of which daemons saw them, each counted once', () => {
  const [x, y, z] = [new CrashTracker(), new CrashTracker(), new CrashTracker()];
  crashEngine(x, 'e-1');
  crashEngine(y, 'e-1');
  crashEngine(y, 'e-2');
  gossip(x, y);
  gossip(y, x);
  assert.is(x.getHoldMs(DIGEST), undefined);
  crashEngine(x, 'e-3');
  assert.is(x.getHoldMs(DIGEST), HOLD_MS);
  gossip(x, z);
  assert.ok(z.getHoldMs(DIGEST), 'relayed by a daemon that saw none of them');
  gossip(z, y);
  assert.ok(y.getHoldMs(DIGEST));
});

test('a later crash of the same engine counts as another crash', ({ clock }) => {
  const tracker = new CrashTracker();
  crashEngine(tracker, 'e-1');
  crashEngine(tracker, 'e-1');
  clock.tick(5_000);
  crashEngine(tracker, 'e-1');
  assert.is(tracker.getHoldMs(DIGEST), undefined);
  clock.tick(5_000);
  crashEngine(tracker, 'e-1');
  assert.ok(tracker.getHoldMs(DIGEST));
});

test('an answer clears a chat on all daemons, and a hold expires', ({ clock }) => {
  const [x, y] = [new CrashTracker(), new CrashTracker()];
  ['e-1', 'e-2', 'e-3'].forEach((engine) => crashEngine(x, engine));
  gossip(x, y);
  const stale = x.getPayload();
  x.recordSuccess(DIGEST);
  gossip(x, y);
  assert.is(y.getHoldMs(DIGEST), undefined);
  y.mergePayload(JSON.parse(JSON.stringify(stale)));
  assert.is(y.getHoldMs(DIGEST), undefined, 'gossip sent before the chat was cleared');
  ['e-4', 'e-5', 'e-6'].forEach((engine) => crashEngine(y, engine));
  clock.tick(HOLD_MS);
  assert.is(y.getHoldMs(DIGEST), undefined);
});

test('nothing is gossiped unless an engine crashed recently', ({ clock }) => {
  const tracker = new CrashTracker();
  assert.is(tracker.getPayload(), undefined);
  crashEngine(tracker, 'e-1');
  assert.ok(tracker.getPayload());
  clock.tick(20_000);
  assert.is(tracker.getPayload(), undefined);
});

test.run();

/** How daemons add up engines that ended under a chat. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { asId, type RequestDigest, type UpstreamId } from '@snipehaven/common';
import { HOLD_MS } from '@snipehaven/policy';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { CrashTally } from './crashTally.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('crash tally', {} as Context);

const NOON_MS = 1_700_000_000_000;

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: NOON_MS });
});

test.after.each(({ clock }) => clock.uninstall());

const A = asId<RequestDigest>('a');

let requests = 0;

const lose = (tally: CrashTally, upstream: string): void => {
  requests += 1;
  tally.noteLoss({
    digest: A,
    requestId: `request-${requests}`,
    upstream: asId<UpstreamId>(upstream),
    answeredForMs: undefined,
    isEndExpected: false,
  });
};

const tell = (from: CrashTally, to: CrashTally): void => {
  const payload = from.getPayload();
  if (payload !== undefined) {
    to.mergePayload(JSON.parse(JSON.stringify(payload)));
  }
};

test('three ends hold a chat back, whichever daemons saw them, and each counts once', () => {
  const [x, y, z] = [new CrashTally(), new CrashTally(), new CrashTally()];
  lose(x, 'e-1');
  lose(y, 'e-1');
  lose(y, 'e-2');
  tell(x, y);
  tell(y, x);
  assert.is(x.getHoldMs(A), undefined);
  lose(x, 'e-3');
  assert.is(x.getHoldMs(A), HOLD_MS);
  tell(x, z);
  assert.ok(z.getHoldMs(A), 'passed on by one that did not see them');
  tell(z, y);
  assert.ok(y.getHoldMs(A));
});

test('an engine that ends again later is another end', ({ clock }) => {
  const tally = new CrashTally();
  lose(tally, 'e-1');
  lose(tally, 'e-1');
  clock.tick(5_000);
  lose(tally, 'e-1');
  assert.is(tally.getHoldMs(A), undefined);
  clock.tick(5_000);
  lose(tally, 'e-1');
  assert.ok(tally.getHoldMs(A));
});

test('an answer clears a chat everywhere, and a hold lapses', ({ clock }) => {
  const [x, y] = [new CrashTally(), new CrashTally()];
  ['e-1', 'e-2', 'e-3'].forEach((engine) => lose(x, engine));
  tell(x, y);
  const stale = x.getPayload();
  x.noteAnswered(A);
  tell(x, y);
  assert.is(y.getHoldMs(A), undefined);
  y.mergePayload(JSON.parse(JSON.stringify(stale)));
  assert.is(y.getHoldMs(A), undefined, 'news that were under way');
  ['e-4', 'e-5', 'e-6'].forEach((engine) => lose(y, engine));
  clock.tick(HOLD_MS);
  assert.is(y.getHoldMs(A), undefined);
});

test('nothing is told while no engine ends, nor for long after one', ({ clock }) => {
  const tally = new CrashTally();
  assert.is(tally.getPayload(), undefined);
  lose(tally, 'e-1');
  assert.ok(tally.getPayload());
  clock.tick(20_000);
  assert.is(tally.getPayload(), undefined);
});

test.run();

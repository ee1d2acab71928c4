import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createSilentLogger, setInvariantsFatal } from '@snipehaven/common';
import { silentRecorder } from '@snipehaven/timeline';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { FakeTable } from '../testing/fakeTable.js';
import type { Lease } from '../types.js';
import { TableLeaseKeeper } from './tableLeaseKeeper.js';

setInvariantsFatal(true);

const DURATION_MS = 10_000;
const NAME = 'rollout/small';

interface Context {
  clock: Clock;
  table: FakeTable;
  first: TableLeaseKeeper;
  second: TableLeaseKeeper;
}

const test = suite<Context>('tableLeaseKeeper', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.table = new FakeTable();
  [context.first, context.second] = ['a#1', 'b#1'].map(
    (incarnation) =>
      new TableLeaseKeeper({
        table: context.table,
        incarnation,
        timeline: silentRecorder,
        logger: createSilentLogger(),
      }),
  ) as [TableLeaseKeeper, TableLeaseKeeper];
});

test.after.each(({ clock }) => clock.uninstall());

const acquire = (keeper: TableLeaseKeeper): Promise<Lease | undefined> =>
  keeper.acquire(NAME, DURATION_MS);

const take = async (keeper: TableLeaseKeeper): Promise<Lease> => {
  const lease = await acquire(keeper);
  assert.ok(lease, 'the lease is free');
  return lease;
};

test('is extended under the same fence and held by one member only', async ({
  clock,
  first,
  second,
}) => {
  const lease = await take(first);
  for (let round = 0; round < 10; round += 1) {
    clock.tick(DURATION_MS / 2);
    assert.is(await acquire(first), lease);
    assert.is(await acquire(second), undefined);
  }
  assert.is(lease.fence, 1);
  assert.ok(lease.isHeld());
});

test('is free after a release, and the fence still increases', async ({ first, second }) => {
  const lease = await take(first);
  await lease.release();
  assert.not.ok(lease.isHeld());
  const other = await take(second);
  assert.is(other.fence, 2);
  await other.release();
  assert.is((await take(first)).fence, 3);
});

test('only one of two concurrent writers acquires the lease', async ({
  clock,
  table,
  first,
  second,
}) => {
  // Guards against two daemons that advance the same roll-out: both read a row that is free or
  // whose holder died, and both write it. Without a condition, one write replaces the other.
  const atFirst = await Promise.all([acquire(first), acquire(second)]);
  assert.is(atFirst.filter(Boolean).length, 1);
  table.put(`lease/${NAME}`, {
    holder: 'c#1',
    token: 'c#1/9',
    fence: 7,
    durationMs: DURATION_MS,
    renewals: 3,
  });
  clock.tick(DURATION_MS);
  await Promise.all([acquire(first), acquire(second)]);
  clock.tick(DURATION_MS);
  const afterDeath = await Promise.all([acquire(first), acquire(second)]);
  assert.equal(
    afterDeath.filter(Boolean).map((lease) => lease?.fence),
    [8],
  );
});

test('another member waits for the whole duration since it first saw the row', async (context) => {
  // Guards against two holders at once: the holder extends just before another member looks, whose
  // wall clock is an hour ahead. The end of a lease must not be judged by another machine's clock,
  // nor from the first version of the row.
  const { clock, first, second } = context;
  const lease = await take(first);
  await acquire(second);
  clock.tick(DURATION_MS - 2_000);
  await acquire(first);
  clock.setSystemTime(Date.now() + 3_600_000);
  clock.tick(2_000);
  assert.is(await acquire(second), undefined);
  clock.tick(DURATION_MS - 1);
  assert.is(await acquire(second), undefined);
  assert.not.ok(lease.isHeld());
  clock.tick(1);
  assert.is((await take(second)).fence, 2);
});

test('a paused holder has lost the lease when it resumes', async ({ clock, first, second }) => {
  // Guards against a frozen daemon that commands an engine under a lease which another daemon
  // holds: it acquires the lease, is frozen past its end, another one takes over, and it resumes
  // without any of its own timers having run in between.
  const lease = await take(first);
  await acquire(second);
  clock.jump(DURATION_MS);
  const other = await take(second);
  assert.not.ok(lease.isHeld());
  assert.is(await acquire(first), undefined);
  await lease.release();
  assert.ok(other.isHeld());
  assert.is(await acquire(second), other);
});

test('the holder counts the duration from before its write was sent', async ({
  clock,
  table,
  first,
  second,
}) => {
  // Guards against two holders at once: the table applies the write immediately and replies when
  // the lease is nearly over. The holder must not count from the reply, because others count from
  // the write.
  table.failNext('slowReply');
  const pending = acquire(first);
  await clock.tickAsync(1);
  await acquire(second);
  await clock.tickAsync(DURATION_MS);
  table.arrive();
  assert.is(await pending, undefined);
  assert.is((await take(second)).fence, 2);
});

test('the lease is acquired even if the reply to the write is lost', async ({
  table,
  first,
  second,
}) => {
  // Guards against a free lease that nobody holds for its whole duration: the table applies the
  // write, the reply is lost, and the writer treats this as a failure.
  table.failNext('lostReply');
  const lease = await take(first);
  assert.is(lease.fence, 1);
  assert.is(await acquire(second), undefined);
  table.failNext('lostReply');
  assert.is(await acquire(first), lease);
  await lease.release();
  assert.is((await take(second)).fence, 2);
});

test('a delayed write does not give anyone a lease unnoticed', async (context) => {
  // Guards against a row that names a holder that does not know it holds the lease, or that counts
  // from too late: the write times out, the row read back is unchanged, and then the write takes
  // effect. A timeout does not tell whether the write is still in progress.
  const { clock, table, first, second } = context;
  table.failNext('lateWrite');
  assert.is(await acquire(first), undefined);
  table.arrive();
  assert.is(await acquire(second), undefined);
  clock.tick(DURATION_MS);
  const lease = await take(first);
  assert.is(lease.fence, 2);
  assert.is(await acquire(second), undefined);
});

test('a delayed extension is recognised as the holder’s own', async ({ table, first }) => {
  // Guards against a healthy holder that gives up its lease: an extension times out and arrives
  // later, and the next one finds a changed row. A changed row does not imply another holder.
  const lease = await take(first);
  table.failNext('lateWrite');
  assert.is(await acquire(first), lease);
  table.arrive();
  assert.is(await acquire(first), lease);
  assert.is(lease.fence, 1);
});

test('while the table is unavailable the lease lasts for its duration and no longer', async ({
  clock,
  table,
  first,
}) => {
  const lease = await take(first);
  table.setAway(true);
  clock.tick(DURATION_MS / 2);
  assert.is(await acquire(first), lease);
  clock.tick(DURATION_MS / 2);
  assert.is(await acquire(first), undefined);
  assert.not.ok(lease.isHeld());
  table.setAway(false);
  assert.is((await take(first)).fence, 2);
});

test('a malformed row is left unchanged', async ({ table, first }) => {
  table.put(`lease/${NAME}`, { holder: 5 });
  assert.is(await acquire(first), undefined);
  assert.equal((await table.scan())[0]?.value, { holder: 5 });
});

test.run();

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

test('is extended under one fence, and only its holder has it', async ({
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

test('is free after a release, and the fence rises all the same', async ({ first, second }) => {
  const lease = await take(first);
  await lease.release();
  assert.not.ok(lease.isHeld());
  const other = await take(second);
  assert.is(other.fence, 2);
  await other.release();
  assert.is((await take(first)).fence, 3);
});

test('two takers that race: one gets it', async ({ clock, table, first, second }) => {
  // Symptom: two daemons raise the same roll-out at once.
  // Sequence: both read a free row, or one whose holder died, and both write.
  // Cause: a write without a condition replaces the other's.
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

test('a taker waits the whole time since it first saw the row', async (context) => {
  // Symptom: two holders at once.
  // Sequence: the holder extends just before a taker looks; the taker's wall clock is an hour ahead.
  // Cause: the end of a lease judged by another machine's clock, or from the row's first version.
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

test('a paused holder has lost it before it acts', async ({ clock, first, second }) => {
  // Symptom: a daemon that was frozen gives an engine an order under a lease that another holds.
  // Sequence: it takes the lease, is frozen past its end, another takes over, it wakes up.
  // Cause: no timer of its own ran in between that would have told it.
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

test('the holder counts from before its write was sent', async ({
  clock,
  table,
  first,
  second,
}) => {
  // Symptom: two holders at once.
  // Sequence: the table takes the write at once and replies when the lease is nearly over.
  // Cause: the holder counted from the reply, a taker from the write.
  table.failNext('slowReply');
  const pending = acquire(first);
  await clock.tickAsync(1);
  await acquire(second);
  await clock.tickAsync(DURATION_MS);
  table.arrive();
  assert.is(await pending, undefined);
  assert.is((await take(second)).fence, 2);
});

test('a lost reply to the taking write loses no lease', async ({ table, first, second }) => {
  // Symptom: a free lease is nobody's for its whole duration.
  // Sequence: the table takes the write and the reply is lost.
  // Cause: the taker took the silence for a failure.
  table.failNext('lostReply');
  const lease = await take(first);
  assert.is(lease.fence, 1);
  assert.is(await acquire(second), undefined);
  table.failNext('lostReply');
  assert.is(await acquire(first), lease);
  await lease.release();
  assert.is((await take(second)).fence, 2);
});

test('a taking write that arrives late gives nobody a lease unawares', async (context) => {
  // Symptom: the row names a holder that does not know of it, or one that counts from too late.
  // Sequence: the write times out, the row read back is as before, then the write takes effect.
  // Cause: a timeout says nothing about whether the write is still on its way.
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

test('an extension that arrives late is recognised as one’s own', async ({ table, first }) => {
  // Symptom: a healthy holder gives up its lease.
  // Sequence: an extension times out and arrives later; the next one finds a changed row.
  // Cause: any changed row was taken for another holder's.
  const lease = await take(first);
  table.failNext('lateWrite');
  assert.is(await acquire(first), lease);
  table.arrive();
  assert.is(await acquire(first), lease);
  assert.is(lease.fence, 1);
});

test('while the table is away it lasts its time and no longer', async ({ clock, table, first }) => {
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

test('a row that cannot be read is left alone', async ({ table, first }) => {
  table.put(`lease/${NAME}`, { holder: 5 });
  assert.is(await acquire(first), undefined);
  assert.equal((await table.scan())[0]?.value, { holder: 5 });
});

test.run();

import { install } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createSilentLogger } from '@snipehaven/common';
import type { TableRow } from '@snipehaven/platform';
import type { SafeMove } from '@snipehaven/protocol';
import { restoreManifest } from '@snipehaven/resources';
import { SAFE_MOVE_PREFIX } from '../constants.js';
import { ConfigurationUnavailableError, SafeMoveRacedError } from '../errors.js';
import {
  buildRollout,
  buildVersion,
  createClusterTest,
  type TestCluster,
  type TestDaemon,
} from '../testKit.js';
import { joinSafeMoves } from './joinSafeMoves.js';
import { SafeMoveState } from './safeMoveState.js';

const withCluster = createClusterTest(install);

const VERSION = 'small@2';
const ROW_KEY = `${SAFE_MOVE_PREFIX}withdraw/${VERSION}`;
const SEED = 42;

const moveArbitrary = fc.record({
  key: fc.constantFrom('withdraw/small@1', 'withdraw/small@2', 'drain/engine-1'),
  generation: fc.integer({ min: 1, max: 3 }),
  isActive: fc.boolean(),
  reason: fc.constantFrom('bad', 'slow'),
  by: fc.constantFrom('ann', 'bob'),
  atMs: fc.integer({ min: 1, max: 3 }),
});

const sameKeyArbitrary = moveArbitrary.map((move) => ({ ...move, key: 'withdraw/small@2' }));

const withdraw = ({ replica }: TestDaemon, by = 'ann') =>
  replica.safeMoves.activate('withdraw', VERSION, 'bad answers', by);

const lift = ({ replica }: TestDaemon, by = 'bob') =>
  replica.safeMoves.lift('withdraw', VERSION, 'mended', by);

const listBlocked = (daemons: readonly TestDaemon[]): readonly boolean[] =>
  daemons.map(({ replica }) => replica.safeMoves.isVersionBlocked(VERSION));

test('the join is commutative, associative and idempotent', () => {
  fc.assert(
    fc.property(sameKeyArbitrary, sameKeyArbitrary, sameKeyArbitrary, (a, b, c) => {
      assert.equal(joinSafeMoves(a, b), joinSafeMoves(b, a));
      assert.equal(joinSafeMoves(joinSafeMoves(a, b), c), joinSafeMoves(a, joinSafeMoves(b, c)));
      assert.equal(joinSafeMoves(a, a), a);
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('daemons converge under reordering, loss and duplication, and their digests become equal', () => {
  const movesArbitrary = fc.array(moveArbitrary, { maxLength: 12 });
  const orderArbitrary = fc.array(fc.nat({ max: 11 }), { maxLength: 40 });
  const deliver = (
    state: SafeMoveState,
    moves: readonly SafeMove[],
    order: readonly number[],
  ): void =>
    order.forEach((index) =>
      state.merge({ moves: moves.slice(index, index + 1), durableKeys: [] }),
    );
  fc.assert(
    fc.property(movesArbitrary, orderArbitrary, orderArbitrary, (moves, orderOfA, orderOfB) => {
      const a = new SafeMoveState(createSilentLogger());
      const b = new SafeMoveState(createSilentLogger());
      deliver(a, moves, orderOfA);
      deliver(b, moves, orderOfB);
      a.merge(b.listBatch());
      b.merge(a.listBatch());
      assert.is(a.getDigest(), b.getDigest());
      const byKey = (batch: readonly SafeMove[]): readonly SafeMove[] =>
        [...batch].sort((x, y) => (x.key < y.key ? -1 : 1));
      assert.equal(byKey(a.listBatch().moves), byKey(b.listBatch().moves));
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test(
  'a withdrawal takes effect while the table is down, and is persisted when the table recovers',
  withCluster(async (cluster) => {
    // Guards against a bad version that keeps serving while the table is down, because a withdrawal
    // would have to wait for the table. The accepting daemon also dies before the table recovers.
    const daemons = await cluster.addReadyDaemons(['a1', 'a2', 'b1', 'b2']);
    const [accepting, ...others] = daemons as [TestDaemon, ...TestDaemon[]];
    cluster.table.inject({ isDown: true });
    const status = await cluster.settle(withdraw(accepting));
    assert.is(status.durability, 'notDurableYet');
    assert.equal(listBlocked(daemons), [true, true, true, true]);
    const refused = await cluster.settleError(lift(accepting));
    assert.ok(refused instanceof ConfigurationUnavailableError);
    assert.match((refused as Error).message, /stays in force/);
    cluster.kill(accepting);
    const newcomer = cluster.addDaemon('a3');
    await cluster.advance(8_000);
    assert.equal(listBlocked([newcomer]), [true]);
    cluster.table.inject({ isDown: false });
    await cluster.advance(15_000);
    assert.is((cluster.table.rows.get(ROW_KEY)?.value as SafeMove).isActive, true);
    const durabilities = [...others, newcomer].map(
      ({ replica }) => replica.safeMoves.list()[0]?.durability,
    );
    assert.equal(durabilities, ['durable', 'durable', 'durable', 'durable']);
    await cluster.settle(lift(newcomer));
    await cluster.advance(1_000);
    assert.equal(listBlocked([...others, newcomer]), [false, false, false, false]);
  }),
);

test(
  'a withdrawal by a daemon unaware of a lift takes precedence over the lift',
  withCluster(async (cluster) => {
    // Guards against a lift that undoes a later withdrawal. The version is withdrawn and data
    // centre b partitioned; the withdrawal is lifted in a and renewed in b, where it is still
    // active; then the lift arrives in b.
    const daemons = await cluster.addReadyDaemons(['a1', 'b1']);
    const [a, b] = daemons as unknown as readonly [TestDaemon, TestDaemon];
    await cluster.settle(withdraw(a));
    cluster.partitioned.add('b');
    await cluster.settle(lift(a));
    await cluster.settle(withdraw(b, 'carl'));
    assert.equal(listBlocked(daemons), [false, true]);
    cluster.partitioned.clear();
    await cluster.advance(15_000);
    assert.equal(listBlocked(daemons), [true, true]);
    assert.is((cluster.table.rows.get(ROW_KEY)?.value as SafeMove).by, 'carl');
  }),
);

test(
  'a lift fails if a withdrawal overtakes it, and succeeds if its reply is lost',
  withCluster(async (cluster) => {
    // Guards against a lift that undoes a withdrawal unknown to its operator by taking the next
    // free generation. Later, a lift takes effect and its reply is lost.
    const daemons = await cluster.addReadyDaemons(['a1', 'b1']);
    const [a, b] = daemons as unknown as readonly [TestDaemon, TestDaemon];
    await cluster.settle(withdraw(a));
    const stored = cluster.table.rows.get(ROW_KEY) as TableRow;
    const second = { ...(stored.value as SafeMove), generation: 2, by: 'carl' };
    let hasRaced = false;
    cluster.table.inject({
      beforeTransact: () => {
        if (!hasRaced) {
          cluster.table.rows.set(ROW_KEY, {
            ...stored,
            value: second,
            version: stored.version + 1,
          });
          hasRaced = true;
        }
      },
    });
    assert.ok((await cluster.settleError(lift(a))) instanceof SafeMoveRacedError);
    await cluster.advance(2_000);
    assert.equal(listBlocked(daemons), [true, true]);
    await cluster.settle(Promise.allSettled([lift(a), withdraw(b, 'carl')]));
    await cluster.advance(2_000);
    assert.equal(listBlocked(daemons), [true, true]);
    cluster.table.inject({ lostReplies: 1 });
    await cluster.settle(lift(a));
    await cluster.advance(2_000);
    assert.equal(listBlocked(daemons), [false, false]);
  }),
);

/**
 * Advances in small steps and checks that the version is blocked as soon as the daemon is ready.
 */
const checkUntilReady = async (cluster: TestCluster, daemon: TestDaemon): Promise<void> => {
  for (let steps = 0; !daemon.replica.getStatus().hasConfiguration; steps += 1) {
    assert.ok(steps < 400);
    await cluster.advance(50);
  }
  assert.equal(listBlocked([daemon]), [true]);
};

test(
  'a daemon that boots before a withdrawal is persisted knows of it once ready',
  withCluster(async (cluster) => {
    // Guards against a new daemon that briefly uses a withdrawn version. It boots at the moment the
    // table recovers, when the table has the configuration but not yet the withdrawal, which only
    // peers know.
    const [old] = (await cluster.addReadyDaemons(['a1', 'a2'])) as [TestDaemon];
    cluster.table.inject({ isDown: true });
    await cluster.settle(withdraw(old));
    await cluster.advance(30_000);
    cluster.table.inject({ isDown: false });
    await checkUntilReady(cluster, cluster.addDaemon('a3'));
  }),
);

test(
  'a daemon that booted from a snapshot loads withdrawals when the table recovers',
  withCluster(async (cluster) => {
    // Guards against using a version whose withdrawal is in the table. All daemons are replaced
    // during an outage and boot from an older snapshot, and the head revision does not cover safe
    // moves.
    const old = cluster.addDaemon('a1', { maintenanceMs: 1_000 });
    await cluster.advance(4_000);
    cluster.objectStore.setDown(true);
    await cluster.settle(withdraw(old));
    cluster.kill(old);
    cluster.objectStore.setDown(false);
    cluster.table.inject({ isDown: true });
    const fresh = cluster.addDaemon('a1');
    await cluster.advance(2_000);
    cluster.table.inject({ isDown: false });
    await checkUntilReady(cluster, fresh);
  }),
);

[true, false].forEach((isWithdrawnFirst) => {
  test(
    `a withdrawal stays active if the share is raised ${isWithdrawnFirst ? 'after it' : 'before it'}`,
    withCluster(async (cluster) => {
      // Guards against giving a withdrawn version a larger share: the share and the withdrawal are
      // written by different daemons on separate paths, in either order.
      const daemons = await cluster.addReadyDaemons(['a1', 'b1']);
      const [a, b] = daemons as unknown as readonly [TestDaemon, TestDaemon];
      const apply = (manifest: ReturnType<typeof buildRollout>, clientRequestId: string) =>
        a.replica.apply(manifest, { clientRequestId });
      await cluster.settle(apply(buildVersion('small@1'), 'v1'));
      await cluster.settle(apply(buildVersion(VERSION), 'v2'));
      await cluster.settle(apply(buildRollout(10), 'r1'));
      const moves = [() => withdraw(b), () => apply(buildRollout(50), 'r2')];
      const ordered = isWithdrawnFirst ? moves : [...moves].reverse();
      await cluster.settle(Promise.all(ordered.map((move): Promise<unknown> => move())));
      await cluster.advance(2_000);
      assert.equal(listBlocked(daemons), [true, true]);
      assert.is(b.replica.getView().get('Rollout', 'small')?.spec.stages[0]?.sharePct, 50);
    }),
  );
});

test(
  'operators withdraw and lift with the Withdrawal resource',
  withCluster(async (cluster) => {
    const [a, b] = (await cluster.addReadyDaemons(['a1', 'b1'])) as unknown as readonly [
      TestDaemon,
      TestDaemon,
    ];
    const build = (isWithdrawn: boolean) =>
      restoreManifest({
        kind: 'Withdrawal',
        metadata: { name: VERSION },
        spec: { isWithdrawn, reason: 'bad' },
      });
    const options = { clientRequestId: 'w1', by: 'ann' };
    await cluster.settle(a.replica.apply(build(true), options));
    assert.is(b.replica.getView().get('Withdrawal', VERSION)?.spec.reason, 'bad');
    assert.is(b.replica.safeMoves.isActive('withdraw', VERSION), true);
    await cluster.settle(a.replica.apply(build(false), options));
    await cluster.settle(a.replica.apply(build(true), options));
    await cluster.settle(b.replica.remove('Withdrawal', VERSION, options));
    await cluster.advance(500);
    assert.equal(listBlocked([a, b]), [false, false]);
    assert.equal(a.replica.getView().list('Withdrawal'), []);
  }),
);

test.run();

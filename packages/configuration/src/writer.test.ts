import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ResourceInvalidError, type Resource } from '@snipehaven/resources';
import { CHANGE_PREFIX } from './constants.js';
import {
  ConfigurationConflictError,
  ConfigurationOutcomeUnknownError,
  ConfigurationUnavailableError,
} from './errors.js';
import {
  buildRollout,
  buildTeam,
  buildVersion,
  createClusterTest,
  type TestCluster,
  type TestDaemon,
} from './testKit.js';

const withCluster = createClusterTest(install);

const VMS = ['a1', 'b1'] as const;

type Pair = readonly [TestDaemon, TestDaemon];

const createPair = async (cluster: TestCluster): Promise<Pair> =>
  (await cluster.addReadyDaemons(VMS)) as unknown as Pair;

const countChanges = ({ table }: TestCluster): number =>
  [...table.rows.keys()].filter((key) => key.startsWith(CHANGE_PREFIX)).length;

const getTarget = ({ replica }: TestDaemon, name: string): number | undefined =>
  replica.getView().get('Team', name)?.spec.qualityTarget;

test(
  'rejects one of two concurrent changes of the same version with the stored resource',
  withCluster(async (cluster) => {
    // Guards against lost updates when two operators write the same team at different daemons at
    // the same time.
    const [a, b] = await createPair(cluster);
    const first = await cluster.settle(
      a.replica.apply(buildTeam('t', 'a'), { clientRequestId: 'r0' }),
    );
    const { resourceVersion } = first.metadata;
    const tries = [a, b].map(({ replica }, index) => {
      const manifest = buildTeam('t', 'a', { resourceVersion, qualityTarget: 0.6 + index / 10 });
      return replica.apply(manifest, { clientRequestId: `r${index + 1}` });
    });
    const results = await cluster.settle(Promise.allSettled(tries));
    const winner = results.find((result) => result.status === 'fulfilled')?.value;
    const loser = results.find((result) => result.status === 'rejected')?.reason as unknown;
    assert.ok(loser instanceof ConfigurationConflictError);
    assert.equal(loser.present, winner);
    assert.is(countChanges(cluster), 2);
  }),
);

test(
  'concurrent writes to different resources all succeed',
  withCluster(async (cluster) => {
    // Guards against failed writes to unrelated resources, since all writes compete for the single
    // head row.
    const [a, b] = await createPair(cluster);
    cluster.table.inject({ delayMs: 20 });
    const writes = Array.from({ length: 16 }, (_, index) =>
      (index % 2 ? a : b).replica.apply(buildTeam(`t${index}`, index.toString(16)), {
        clientRequestId: `r${index}`,
      }),
    );
    await cluster.settle(Promise.all(writes));
    await cluster.advance(2_000);
    assert.is(a.replica.getView().list('Team').length, 16);
    assert.equal(b.replica.getView().list('Team').length, 16);
    assert.is(a.replica.getStatus().revision, 16);
  }),
);

test(
  'a write whose reply is lost takes effect once, even if it is retried at another daemon',
  withCluster(async (cluster) => {
    // Guards against one command that creates two revisions, the second undoing the change of
    // another operator, when the reply to the first attempt is lost and the client retries at
    // another daemon.
    const [a, b] = await createPair(cluster);
    cluster.table.inject({ lostReplies: 1 });
    const manifest = buildTeam('t', 'a', { qualityTarget: 0.1 });
    const written = await cluster.settle(a.replica.apply(manifest, { clientRequestId: 'r1' }));
    const other = buildTeam('t', 'a', { qualityTarget: 0.9 });
    await cluster.settle(b.replica.apply(other, { clientRequestId: 'r2' }));
    const repeated = await cluster.settle(b.replica.apply(manifest, { clientRequestId: 'r1' }));
    assert.equal(repeated, written);
    assert.is(countChanges(cluster), 2);
    await cluster.advance(2_000);
    assert.equal(
      [a, b].map((daemon) => getTarget(daemon, 't')),
      [0.9, 0.9],
    );
    const misuse = b.replica.apply(other, { clientRequestId: 'r1' });
    assert.ok((await cluster.settleError(misuse)) instanceof ResourceInvalidError);
  }),
);

test(
  'a write that arrives after its retry has no effect',
  withCluster(async (cluster) => {
    // Guards against restoring a replaced value when the network delivers a write after its retry
    // and another write have succeeded.
    const [a, b] = await createPair(cluster);
    cluster.table.inject({ delayedTransactions: 1 });
    const manifest = buildTeam('t', 'a', { qualityTarget: 0.1 });
    await cluster.settle(a.replica.apply(manifest, { clientRequestId: 'r1' }));
    const other = buildTeam('t', 'a', { qualityTarget: 0.9 });
    await cluster.settle(b.replica.apply(other, { clientRequestId: 'r2' }));
    assert.equal(
      cluster.table.deliverDelayed().map(({ kind }) => kind),
      ['conflict'],
    );
    assert.is(countChanges(cluster), 2);
  }),
);

test(
  'rejects a write by its deadline if the table is down, and reports whether it may have taken effect',
  withCluster(async (cluster) => {
    // Guards against repeating a write under a new id although it took effect. An outage just
    // before and one just after the write look alike unless the daemon remembers that an attempt
    // was sent.
    const [a] = await createPair(cluster);
    cluster.table.inject({ isDown: true });
    const refused = a.replica.apply(buildTeam('t', 'a'), { clientRequestId: 'r1' });
    assert.ok((await cluster.settleError(refused)) instanceof ConfigurationUnavailableError);
    cluster.table.inject({ isDown: false });
    cluster.table.inject({ lostReplies: 1 });
    cluster.table.inject({
      beforeTransact: () => {
        cluster.table.inject({ isDown: true });
      },
    });
    const unknown = a.replica.apply(buildTeam('t', 'a'), { clientRequestId: 'r2' });
    assert.ok((await cluster.settleError(unknown)) instanceof ConfigurationOutcomeUnknownError);
  }),
);

test(
  'a recreated team is a different resource',
  withCluster(async (cluster) => {
    // Guards against confusing a recreated team with the deleted one of the same name, whose
    // sessions and bills would continue, while a client still holds the old resourceVersion.
    const [a, b] = await createPair(cluster);
    const old = await cluster.settle(
      a.replica.apply(buildTeam('t', 'a'), { clientRequestId: 'r1' }),
    );
    await cluster.settle(a.replica.remove('Team', 't', { clientRequestId: 'r2' }));
    cluster.table.inject({ lostReplies: 1 });
    const fresh: Resource = await cluster.settle(
      b.replica.apply(buildTeam('t', 'a'), { clientRequestId: 'r3' }),
    );
    assert.is.not(fresh.metadata.uid, old.metadata.uid);
    assert.is(fresh.metadata.generation, 1);
    const { resourceVersion } = old.metadata;
    const late = a.replica.remove('Team', 't', { clientRequestId: 'r4', resourceVersion });
    assert.ok((await cluster.settleError(late)) instanceof ConfigurationConflictError);
    await cluster.advance(1_000);
    assert.is(a.replica.getView().get('Team', 't')?.metadata.uid, fresh.metadata.uid);
  }),
);

test(
  'rejects invalid references with path and rule, and writes nothing in a dry run',
  withCluster(async (cluster) => {
    const [a] = await createPair(cluster);
    const apply = (manifest: Parameters<typeof a.replica.apply>[0], id: string) =>
      a.replica.apply(manifest, { clientRequestId: id });
    await cluster.settle(apply(buildVersion('small@1'), 'v1'));
    const dryRun = { clientRequestId: 'v2', isDryRun: true };
    await cluster.settle(a.replica.apply(buildVersion('small@2'), dryRun));
    const unknown = await cluster.settleError(apply(buildRollout(10), 'r1'));
    assert.equal((unknown as ResourceInvalidError).issues, [
      { path: 'spec.candidateVersion', rule: 'ModelVersion small@2 does not exist' },
    ]);
    await cluster.settle(apply(buildTeam('t', 'a'), 't1'));
    const shared = await cluster.settleError(apply(buildTeam('u', 'a'), 'u1'));
    assert.is((shared as ResourceInvalidError).issues[0]?.path, 'spec.keys.0.sha256');
    await cluster.settle(apply(buildVersion('small@2'), 'v3'));
    await cluster.settle(apply(buildRollout(10), 'r2'));
    const inUse = a.replica.remove('ModelVersion', 'small@1', { clientRequestId: 'd1' });
    assert.ok((await cluster.settleError(inUse)) instanceof ResourceInvalidError);
    assert.is(countChanges(cluster), 4);
  }),
);

test.run();

import { install } from '@sinonjs/fake-timers';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CHANGE_PREFIX, REQUEST_PREFIX, SNAPSHOT_PREFIX } from './constants.js';
import {
  buildTeam,
  createClusterTest,
  type FakeObjectStore,
  type TestCluster,
  type TestDaemon,
} from './testKit.js';

const withCluster = createClusterTest(install);

const NINE_VMS = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3', 'c1', 'c2', 'c3'];

let requestCount = 0;

const applyTeam = async (
  cluster: TestCluster,
  { replica }: TestDaemon,
  qualityTarget: number,
): Promise<void> => {
  requestCount += 1;
  const manifest = buildTeam('t', 'a', { qualityTarget });
  await cluster.settle(replica.apply(manifest, { clientRequestId: `r${requestCount}` }));
};

const getTarget = ({ replica }: TestDaemon): number | undefined =>
  replica.getView().get('Team', 't')?.spec.qualityTarget;

const retainOnlySnapshot = ({ objects }: FakeObjectStore, revision: number): void =>
  [...objects.keys()]
    .filter((name) => Number(name.slice(SNAPSHOT_PREFIX.length).split('-')[0]) !== revision)
    .forEach((name) => objects.delete(name));

test(
  'a change is applied by all daemons, according to their reports',
  withCluster(async (cluster) => {
    const daemons = await cluster.addReadyDaemons(NINE_VMS);
    const [first] = daemons as [TestDaemon];
    await applyTeam(cluster, first, 0.7);
    await cluster.advance(100);
    assert.equal(
      daemons.map(getTarget),
      NINE_VMS.map(() => 0.7),
    );
    const { inForce } = first.replica.getStatus();
    assert.equal(inForce, {
      revision: 1,
      totalDaemons: 9,
      appliedDaemons: 9,
      minRevision: 1,
      behind: [],
    });
    await cluster.advance(8_000);
    daemons.forEach(({ replica }) => assert.is(replica.getStatus().inForce.appliedDaemons, 9));
  }),
);

test(
  'anti-entropy delivers changes whose pushes were lost',
  withCluster(async (cluster) => {
    // Guards against daemons that keep the old configuration because all pushes of a change, which
    // are sent only once, are lost and the table is unavailable.
    const daemons = await cluster.addReadyDaemons(NINE_VMS);
    cluster.dropPushes();
    await applyTeam(cluster, daemons[0] as TestDaemon, 0.7);
    cluster.table.inject({ isDown: true });
    await cluster.advance(4_000);
    assert.equal(
      daemons.map(getTarget),
      NINE_VMS.map(() => 0.7),
    );
  }),
);

test(
  'a partitioned data centre serves, reports staleness, and catches up after the partition heals',
  withCluster(async (cluster) => {
    // Guards against a partitioned data centre that rejects all requests or keeps an old
    // configuration after the partition heals, since nobody pushes the missed changes again.
    const daemons = await cluster.addReadyDaemons(NINE_VMS);
    const first = daemons[0] as TestDaemon;
    const remote = daemons[8] as TestDaemon;
    await applyTeam(cluster, first, 0.1);
    await cluster.advance(1_000);
    cluster.partitioned.add('c');
    await applyTeam(cluster, first, 0.2);
    await applyTeam(cluster, first, 0.3);
    await cluster.advance(30_000);
    assert.is(getTarget(remote), 0.1);
    assert.is(remote.replica.getStatus().isStale, true);
    assert.is(remote.replica.getStatus().hasConfiguration, true);
    assert.is(first.replica.getStatus().isStale, false);
    assert.is(first.replica.getStatus().inForce.totalDaemons, 6);
    assert.is(first.replica.getStatus().inForce.appliedDaemons, 6);
    cluster.partitioned.clear();
    assert.is.not(first.replica.getStatus().inForce.appliedDaemons, 9);
    await cluster.advance(4_000);
    assert.equal(
      daemons.map(getTarget),
      NINE_VMS.map(() => 0.3),
    );
    await cluster.advance(6_000);
    assert.is(remote.replica.getStatus().isStale, false);
    assert.is(first.replica.getStatus().inForce.appliedDaemons, 9);
  }),
);

test(
  'a daemon that boots without any source is not ready until a source is available',
  withCluster(async (cluster) => {
    // Guards against a new daemon that treats the empty state as a loaded configuration, and
    // rejects all teams as unknown, when no source is available at boot.
    const old = cluster.addDaemon('a1');
    await cluster.advance(3_000);
    await applyTeam(cluster, old, 0.7);
    cluster.kill(old);
    cluster.table.inject({ isDown: true });
    cluster.objectStore.setDown(true);
    const fresh = cluster.addDaemon('a1');
    await cluster.advance(30_000);
    assert.is(fresh.replica.getStatus().hasConfiguration, false);
    assert.is(fresh.replica.getStatus().isStale, true);
    const unready = fresh.replica.handlers.fetchChanges({ afterRevision: 0 });
    await cluster.settleError(unready);
    cluster.table.inject({ isDown: false });
    await cluster.advance(11_000);
    assert.is(fresh.replica.getStatus().hasConfiguration, true);
    assert.is(getTarget(fresh), 0.7);
  }),
);

test(
  'a daemon boots from peers while the table is down',
  withCluster(async (cluster) => {
    // Guards against replaced VMs that stay unready during an outage of the table and the object
    // store because only the platform is asked for a configuration.
    const [old] = (await cluster.addReadyDaemons(['a1', 'a2'])) as [TestDaemon];
    await applyTeam(cluster, old, 0.7);
    cluster.table.inject({ isDown: true });
    cluster.objectStore.setDown(true);
    await cluster.advance(60_000);
    const fresh = cluster.addDaemon('a3');
    await cluster.advance(8_000);
    assert.is(getTarget(fresh), 0.7);
    assert.is(fresh.replica.getStatus().hasConfiguration, true);
    assert.is(fresh.replica.getStatus().isStale, true);
  }),
);

test(
  'a daemon that booted from an old snapshot is not ready until it has caught up with its peers',
  withCluster(async (cluster) => {
    // Guards against serving revoked permissions after booting from an old snapshot while the table
    // is down and before hearing from a peer with a higher revision.
    const old = cluster.addDaemon('a1', { maintenanceMs: 1_000 });
    await cluster.advance(3_000);
    await applyTeam(cluster, old, 0.1);
    await cluster.advance(3_000);
    await applyTeam(cluster, old, 0.2);
    await cluster.advance(3_000);
    retainOnlySnapshot(cluster.objectStore, 1);
    cluster.table.inject({ isDown: true });
    cluster.partitioned.add('b');
    const fresh = cluster.addDaemon('b1');
    await cluster.advance(2_000);
    assert.is(getTarget(fresh), 0.1);
    assert.is(fresh.replica.getStatus().hasConfiguration, false);
    cluster.partitioned.clear();
    for (let steps = 0; steps < 100; steps += 1) {
      await cluster.advance(100);
      const { hasConfiguration, revision } = fresh.replica.getStatus();
      assert.ok(!hasConfiguration || revision === 2);
    }
    assert.is(fresh.replica.getStatus().hasConfiguration, true);
    cluster.partitioned.add('c');
    retainOnlySnapshot(cluster.objectStore, 1);
    const alone = cluster.addDaemon('c1');
    await cluster.advance(30_000);
    assert.equal(
      [alone.replica.getStatus().hasConfiguration, alone.replica.getStatus().isStale],
      [true, true],
    );
  }),
);

test(
  'a daemon loads a full snapshot if the table has pruned the changes it missed',
  withCluster(async (cluster) => {
    // Guards against a daemon that stays behind forever because the changes it missed during a
    // partition have been pruned.
    const settings = { retainedChanges: 2, maintenanceMs: 500 };
    const [first, remote] = [cluster.addDaemon('a1', settings), cluster.addDaemon('b1', settings)];
    await cluster.advance(3_000);
    await applyTeam(cluster, first, 0.01);
    cluster.partitioned.add('b');
    for (let index = 2; index <= 8; index += 1) {
      await applyTeam(cluster, first, index / 100);
    }
    await cluster.advance(5_000);
    const keys = [...cluster.table.rows.keys()];
    assert.is(keys.filter((key) => key.startsWith(CHANGE_PREFIX)).length, 2);
    assert.is(keys.filter((key) => key.startsWith(REQUEST_PREFIX)).length, 2);
    cluster.kill(first);
    cluster.partitioned.clear();
    await cluster.advance(15_000);
    assert.is(getTarget(remote), 0.08);
    assert.is(remote.replica.listChanges(1), undefined);
  }),
);

test(
  'table reads and gossip stay within their budgets with 399 daemons',
  withCluster(async (cluster) => {
    const dataCentres = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const vms = Array.from({ length: 399 }, (_, index) => `${dataCentres[index % 7]}${index}`);
    const daemons = vms.map((vm) => cluster.addDaemon(vm));
    await cluster.advance(15_000);
    const [first] = daemons as [TestDaemon];
    const readsBefore = cluster.table.reads;
    await cluster.advance(20_000);
    const readsPerSecond = (cluster.table.reads - readsBefore) / 20;
    const measureGossip = (): number => {
      const sizes = daemons.slice(1, 20).map(({ self }) => {
        const payloads = first.replica.topics.map((topic) => topic.getPayload(self));
        return JSON.stringify(payloads).length;
      });
      return Math.max(...sizes);
    };
    const calmGossipBytes = measureGossip();
    await applyTeam(cluster, first, 0.5);
    await cluster.advance(2_000);
    const busyGossipBytes = measureGossip();
    assert.is(first.replica.getStatus().inForce.appliedDaemons, 399);
    console.log({ readsPerSecond, calmGossipBytes, busyGossipBytes });
    assert.ok(readsPerSecond < 50);
    assert.ok(busyGossipBytes < 1_500);
  }),
);

test.run();

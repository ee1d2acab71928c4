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

const NINE = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3', 'c1', 'c2', 'c3'];

let requests = 0;

const applyTeam = async (
  cluster: TestCluster,
  { replica }: TestDaemon,
  qualityTarget: number,
): Promise<void> => {
  requests += 1;
  const manifest = buildTeam('t', 'a', { qualityTarget });
  await cluster.settle(replica.apply(manifest, { clientRequestId: `r${requests}` }));
};

const getTarget = ({ replica }: TestDaemon): number | undefined =>
  replica.getView().get('Team', 't')?.spec.qualityTarget;

const keepOnly = ({ objects }: FakeObjectStore, revision: number): void =>
  [...objects.keys()]
    .filter((name) => Number(name.slice(SNAPSHOT_PREFIX.length).split('-')[0]) !== revision)
    .forEach((name) => objects.delete(name));

test(
  'a change is in force everywhere, by what all daemons report',
  withCluster(async (cluster) => {
    const daemons = await cluster.addReadyDaemons(NINE);
    const [first] = daemons as [TestDaemon];
    await applyTeam(cluster, first, 0.7);
    await cluster.advance(100);
    assert.equal(
      daemons.map(getTarget),
      NINE.map(() => 0.7),
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
  'anti-entropy brings what pushes lose',
  withCluster(async (cluster) => {
    // Symptom: some daemons still serve the old configuration long after an apply.
    // Sequence: all pushes of a change are lost, and the table goes away.
    // Cause: a push is sent once.
    const daemons = await cluster.addReadyDaemons(NINE);
    cluster.losePushes();
    await applyTeam(cluster, daemons[0] as TestDaemon, 0.7);
    cluster.table.inject({ isDown: true });
    await cluster.advance(4_000);
    assert.equal(
      daemons.map(getTarget),
      NINE.map(() => 0.7),
    );
  }),
);

test(
  'a data centre that was cut off serves, says stale, and catches up when healed',
  withCluster(async (cluster) => {
    // Symptom: a data centre comes back with an old configuration, or refuses all while it is cut off.
    // Sequence: data centre c loses the others and the table; changes are made meanwhile; the cut heals.
    // Cause: nothing reaches c, and nobody sends the changes a second time.
    const daemons = await cluster.addReadyDaemons(NINE);
    const first = daemons[0] as TestDaemon;
    const far = daemons[8] as TestDaemon;
    await applyTeam(cluster, first, 0.1);
    await cluster.advance(1_000);
    cluster.cutOff.add('c');
    await applyTeam(cluster, first, 0.2);
    await applyTeam(cluster, first, 0.3);
    await cluster.advance(30_000);
    assert.is(getTarget(far), 0.1);
    assert.is(far.replica.getStatus().isStale, true);
    assert.is(far.replica.getStatus().hasConfiguration, true);
    assert.is(first.replica.getStatus().isStale, false);
    assert.is(first.replica.getStatus().inForce.totalDaemons, 6);
    assert.is(first.replica.getStatus().inForce.appliedDaemons, 6);
    cluster.cutOff.clear();
    assert.is.not(first.replica.getStatus().inForce.appliedDaemons, 9);
    await cluster.advance(4_000);
    assert.equal(
      daemons.map(getTarget),
      NINE.map(() => 0.3),
    );
    await cluster.advance(6_000);
    assert.is(far.replica.getStatus().isStale, false);
    assert.is(first.replica.getStatus().inForce.appliedDaemons, 9);
  }),
);

test(
  'a daemon that boots with everything else down is not ready, and becomes so with the first source',
  withCluster(async (cluster) => {
    // Symptom: a new daemon refuses all teams as unknown.
    // Sequence: it boots while table, object store and peers are away; it counts the empty state as loaded.
    // Cause: nothing to load looks like nothing configured.
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
    // Symptom: replaced VMs stay unready during an outage of the table, until none is left.
    // Sequence: table and object store go down; a daemon is replaced.
    // Cause: only the platform is asked for a configuration.
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
  'a daemon that booted from an old snapshot is not ready before it has what its peers have',
  withCluster(async (cluster) => {
    // Symptom: for a moment a new daemon serves permissions that were taken back an hour ago.
    // Sequence: the table is down; a daemon boots before it knows any peer, and loads the snapshot of the
    // hour before; then it hears a peer with a higher revision.
    // Cause: the snapshot is made now and then, and looks like a configuration.
    const old = cluster.addDaemon('a1', { maintenanceMs: 1_000 });
    await cluster.advance(3_000);
    await applyTeam(cluster, old, 0.1);
    await cluster.advance(3_000);
    await applyTeam(cluster, old, 0.2);
    await cluster.advance(3_000);
    keepOnly(cluster.objectStore, 1);
    cluster.table.inject({ isDown: true });
    cluster.cutOff.add('b');
    const fresh = cluster.addDaemon('b1');
    await cluster.advance(2_000);
    assert.is(getTarget(fresh), 0.1);
    assert.is(fresh.replica.getStatus().hasConfiguration, false);
    cluster.cutOff.clear();
    for (let steps = 0; steps < 100; steps += 1) {
      await cluster.advance(100);
      const { hasConfiguration, revision } = fresh.replica.getStatus();
      assert.ok(!hasConfiguration || revision === 2);
    }
    assert.is(fresh.replica.getStatus().hasConfiguration, true);
    cluster.cutOff.add('c');
    keepOnly(cluster.objectStore, 1);
    const alone = cluster.addDaemon('c1');
    await cluster.advance(30_000);
    assert.equal(
      [alone.replica.getStatus().hasConfiguration, alone.replica.getStatus().isStale],
      [true, true],
    );
  }),
);

test(
  'a daemon whose history the table has pruned takes the whole state',
  withCluster(async (cluster) => {
    // Symptom: a daemon stays behind for good, asking for changes that are gone.
    // Sequence: it is cut off while more changes are made than the table keeps.
    // Cause: change rows are pruned.
    const settings = { keptChanges: 2, maintenanceMs: 500 };
    const [first, far] = [cluster.addDaemon('a1', settings), cluster.addDaemon('b1', settings)];
    await cluster.advance(3_000);
    await applyTeam(cluster, first, 0.01);
    cluster.cutOff.add('b');
    for (let index = 2; index <= 8; index += 1) {
      await applyTeam(cluster, first, index / 100);
    }
    await cluster.advance(5_000);
    const keys = [...cluster.table.rows.keys()];
    assert.is(keys.filter((key) => key.startsWith(CHANGE_PREFIX)).length, 2);
    assert.is(keys.filter((key) => key.startsWith(REQUEST_PREFIX)).length, 2);
    cluster.kill(first);
    cluster.cutOff.clear();
    await cluster.advance(15_000);
    assert.is(getTarget(far), 0.08);
    assert.is(far.replica.listChanges(1), undefined);
  }),
);

test(
  'reads of all daemons and gossip stay within the budget at full size',
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

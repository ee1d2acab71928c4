/** Team limits across daemons: shares follow demand and never exceed the limit in total. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createRandom, pickRandom, setInvariantsFatal } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  TeamSharesCluster,
  type ShareDaemon,
  type TeamSharesClusterOptions,
} from '../testing/teamSharesCluster.js';
import type { TeamLimits } from './types.js';

setInvariantsFatal(true);

interface Context {
  clock: Clock;
  clusters: TeamSharesCluster[];
}

const STEP_MS = 250;
const TOLERANCE = 1e-6;
const LARGE: TeamLimits = {
  requestsPerSecond: 900,
  burst: 900,
  concurrency: 90,
  spendMicroUsdPerDay: 1_000_000_000,
};
/** Fewer slots than daemons. */
const SMALL: TeamLimits = { ...LARGE, concurrency: 4 };
const limits = { large: LARGE, small: SMALL };
const NINE_DAEMONS: TeamSharesClusterOptions = {
  seed: 5,
  dataCentres: ['a', 'b', 'c'],
  daemonsPerDataCentre: 3,
  limits,
};

const test = suite<Context>('teamShares', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.clusters = [];
});

test.after.each(({ clock, clusters }) => {
  clusters.forEach((cluster) => cluster.stop());
  clock.uninstall();
});

const createCluster = (
  { clusters }: Context,
  options: TeamSharesClusterOptions,
): TeamSharesCluster => {
  const cluster = new TeamSharesCluster(options);
  clusters.push(cluster);
  return cluster;
};

const assertWithinLimits = (cluster: TeamSharesCluster, context: string): void => {
  Object.entries(limits).forEach(([team, { concurrency }]) => {
    const sum = cluster.sum(team);
    assert.ok(sum.flow <= 1 + TOLERANCE, `${team}: ${sum.flow} of rate and spend ${context}`);
    assert.ok(sum.slots <= concurrency, `${team}: ${sum.slots} slots ${context}`);
  });
};

const recordArrivals = (daemon: ShareDaemon, team: string, requests: number): void => {
  Array.from({ length: requests }, (_, index) => daemon.shares.recordArrival(team, 10, index));
  daemon.shares.recordEnd(team, 0);
};

/** Advances the clock in steps of 250 ms, calling `step` before each. */
const run = async (
  { clock }: Context,
  cluster: TeamSharesCluster,
  durationMs: number,
  step: () => void,
): Promise<void> => {
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    step();
    await clock.tickAsync(STEP_MS);
    assertWithinLimits(cluster, `after ${nowMs} ms`);
  }
};

test('shares follow demand within a data centre', async (context) => {
  const cluster = createCluster(context, NINE_DAEMONS);
  await run(context, cluster, 12_000, () => recordArrivals(cluster.get('a-1'), 'large', 30));
  const busy = cluster.get('a-1').shares.getShares('large');
  assert.ok(busy.flow > 0.19, `${busy.flow} of a third`);
  assert.ok(busy.slots >= 28, `${busy.slots} of 30 slots`);
  await run(context, cluster, 20_000, () => recordArrivals(cluster.get('a-2'), 'large', 30));
  const moved = cluster.get('a-2').shares.getShares('large');
  assert.ok(moved.flow > 0.19 && moved.slots >= 28, `${moved.flow}, ${moved.slots} slots`);
});

test('a team with fewer slots than daemons gets slots on the daemon that it uses', async (context) => {
  // With fewer slots than daemons, a team exceeds its concurrency limit if each daemon rounds its
  // share up to one, and gets no slot at all if every daemon rounds it down.
  const cluster = createCluster(context, {
    ...NINE_DAEMONS,
    dataCentres: ['a'],
    daemonsPerDataCentre: 9,
  });
  await run(context, cluster, 4_000, () => undefined);
  const { shares } = cluster.get('a-7');
  shares.recordArrival('small', 10, 0);
  const waiting = shares.waitForShare('small');
  await context.clock.tickAsync(50);
  assert.ok(await waiting, 'the share is granted on demand');
  await run(context, cluster, 10_000, () => recordArrivals(cluster.get('a-7'), 'small', 4));
  assert.is(shares.getShares('small').slots, 4);
});

test('fixed shares apply while there is no allocator', async (context) => {
  // A data centre starts while the platform is down, so no daemon gets the lease and no allocator
  // answers. Without fixed shares it would refuse all requests.
  const cluster = createCluster(context, NINE_DAEMONS);
  cluster.isTableUnavailable = true;
  await run(context, cluster, 25_000, () => recordArrivals(cluster.get('b-0'), 'large', 5));
  cluster.daemons.forEach(({ shares }) => {
    assert.equal(shares.getShares('large').slots, 10);
  });
  assert.is(cluster.sum('small').slots, 4);
  assert.ok(Math.abs(cluster.sum('large').flow - 1) < TOLERANCE);
});

test('a killed allocator is replaced without granting its shares twice', async (context) => {
  // The allocator dies while its shares are held, and its successor knows none of the holders.
  // Treating those shares as free would exceed the team's limit; a team could also stay at its
  // fixed shares.
  const cluster = createCluster(context, NINE_DAEMONS);
  const step = (): void => recordArrivals(cluster.get('a-2'), 'large', 30);
  await run(context, cluster, 10_000, step);
  const allocator = cluster.getAllocator('a') as ShareDaemon;
  cluster.kill(allocator);
  await run(context, cluster, 40_000, step);
  assert.is.not(cluster.getAllocator('a'), undefined);
  const { slots } = cluster.get('a-2').shares.getShares('large');
  assert.ok(slots >= 18, `${slots} slots: all but the dead one's fixed part`);
});

test('the sum stays within the limit under message loss, delays, partitions and crashes', async (context) => {
  // Messages are lost or delayed, daemons are partitioned and return, the table is down and
  // allocators die. If a share were treated as free while it may still be in force, the daemons
  // would exceed the team's limit for some seconds.
  for (let seed = 1; seed <= 12; seed += 1) {
    const random = createRandom(seed);
    const cluster = createCluster(context, { ...NINE_DAEMONS, seed });
    cluster.lossRate = 0.2;
    cluster.delayRate = 0.2;
    const step = (): void => {
      const daemon = pickRandom(cluster.daemons, random) as ShareDaemon;
      recordArrivals(daemon, random.nextInt(2) === 0 ? 'large' : 'small', random.nextInt(60));
      if (random.next() < 0.02) {
        cluster.isolatedVms.add((pickRandom(cluster.daemons, random) as ShareDaemon).member.vm);
      }
      if (random.next() < 0.04) {
        cluster.isolatedVms.clear();
      }
      if (random.next() < 0.01) {
        cluster.isTableUnavailable = !cluster.isTableUnavailable;
      }
      if (random.next() < 0.004) {
        cluster.kill(daemon);
      }
    };
    await run(context, cluster, 90_000, step);
  }
});

test.run();

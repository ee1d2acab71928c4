/** Team limits over several daemons: followed by demand, never exceeded in sum. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { createRandom, pickRandom, setInvariantsFatal } from '@snipehaven/common';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ShareWorld, type ShareDaemon, type ShareWorldOptions } from '../testing/shareWorld.js';
import type { TeamLimits } from './types.js';

setInvariantsFatal(true);

interface Context {
  clock: Clock;
  worlds: ShareWorld[];
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
const NINE: ShareWorldOptions = {
  seed: 5,
  dataCentres: ['a', 'b', 'c'],
  daemonsPerDataCentre: 3,
  limits,
};

const test = suite<Context>('teamShares', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
  context.worlds = [];
});

test.after.each(({ clock, worlds }) => {
  worlds.forEach((world) => world.stop());
  clock.uninstall();
});

const createWorld = ({ worlds }: Context, options: ShareWorldOptions): ShareWorld => {
  const world = new ShareWorld(options);
  worlds.push(world);
  return world;
};

const assertWithinLimits = (world: ShareWorld, context: string): void => {
  Object.entries(limits).forEach(([team, { concurrency }]) => {
    const sum = world.sum(team);
    assert.ok(sum.flow <= 1 + TOLERANCE, `${team}: ${sum.flow} of rate and spend ${context}`);
    assert.ok(sum.slots <= concurrency, `${team}: ${sum.slots} slots ${context}`);
  });
};

const arrive = (daemon: ShareDaemon, team: string, requests: number): void => {
  Array.from({ length: requests }, (_, index) => daemon.shares.noteArrival(team, 10, index));
  daemon.shares.noteEnd(team, 0);
};

/** Runs for so long, with the step before each quarter of a second. */
const run = async (
  { clock }: Context,
  world: ShareWorld,
  durationMs: number,
  step: () => void,
): Promise<void> => {
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    step();
    await clock.tickAsync(STEP_MS);
    assertWithinLimits(world, `after ${nowMs} ms`);
  }
};

test('shares follow demand within a data centre', async (context) => {
  const world = createWorld(context, NINE);
  await run(context, world, 12_000, () => arrive(world.get('a-1'), 'large', 30));
  const busy = world.get('a-1').shares.getShares('large');
  assert.ok(busy.flow > 0.19, `${busy.flow} of a third`);
  assert.ok(busy.slots >= 28, `${busy.slots} of 30 slots`);
  await run(context, world, 20_000, () => arrive(world.get('a-2'), 'large', 30));
  const moved = world.get('a-2').shares.getShares('large');
  assert.ok(moved.flow > 0.19 && moved.slots >= 28, `${moved.flow}, ${moved.slots} slots`);
});

test('a team with fewer slots than daemons can run at a daemon that it comes to', async (context) => {
  // Symptom: a team with a small concurrency limit runs more than its limit, or nothing at all.
  // Sequence: its slots are divided among more daemons than there are slots.
  // Cause: each daemon rounds its part up to one, or all round it down to none.
  const world = createWorld(context, { ...NINE, dataCentres: ['a'], daemonsPerDataCentre: 9 });
  await run(context, world, 4_000, () => undefined);
  const { shares } = world.get('a-7');
  shares.noteArrival('small', 10, 0);
  const waiting = shares.waitForShare('small');
  await context.clock.tickAsync(50);
  assert.ok(await waiting, 'the share comes on demand');
  await run(context, world, 10_000, () => arrive(world.get('a-7'), 'small', 4));
  assert.is(shares.getShares('small').slots, 4);
});

test('without any allocator the fixed shares are served', async (context) => {
  // Symptom: a data centre that starts while the platform is away refuses everything.
  // Sequence: no daemon gets the lease, so nobody answers.
  // Cause: shares that exist only by the allocator's word.
  const world = createWorld(context, NINE);
  world.isTableAway = true;
  await run(context, world, 25_000, () => arrive(world.get('b-0'), 'large', 5));
  world.daemons.forEach(({ shares }) => {
    assert.equal(shares.getShares('large').slots, 10);
  });
  assert.is(world.sum('small').slots, 4);
  assert.ok(Math.abs(world.sum('large').flow - 1) < TOLERANCE);
});

test('a killed allocator is replaced, and its shares are not given twice', async (context) => {
  // Symptom: a team above its limit, or stuck at its fixed shares, after a daemon died.
  // Sequence: the allocator dies with shares lent out; another takes the lease and knows nobody.
  // Cause: the new one counts as free what the old one gave.
  const world = createWorld(context, NINE);
  const step = (): void => arrive(world.get('a-2'), 'large', 30);
  await run(context, world, 10_000, step);
  const allocator = world.getAllocator('a') as ShareDaemon;
  world.kill(allocator);
  await run(context, world, 40_000, step);
  assert.is.not(world.getAllocator('a'), undefined);
  const { slots } = world.get('a-2').shares.getShares('large');
  assert.ok(slots >= 18, `${slots} slots: all but the dead one's fixed part`);
});

test('the sum holds under lost and late messages, cuts and deaths', async (context) => {
  // Symptom: for some seconds a team's daemons together use more than its limit.
  // Sequence: shares move while messages are lost or late, daemons are cut off and come back, the table
  // is away, allocators die.
  // Cause: a share counted as free that may still be in force somewhere.
  for (let seed = 1; seed <= 12; seed += 1) {
    const random = createRandom(seed);
    const world = createWorld(context, { ...NINE, seed });
    world.lossShare = 0.2;
    world.lateShare = 0.2;
    const step = (): void => {
      const daemon = pickRandom(world.daemons, random) as ShareDaemon;
      arrive(daemon, random.nextInt(2) === 0 ? 'large' : 'small', random.nextInt(60));
      if (random.next() < 0.02) {
        world.cutVms.add((pickRandom(world.daemons, random) as ShareDaemon).member.vm);
      }
      if (random.next() < 0.04) {
        world.cutVms.clear();
      }
      if (random.next() < 0.01) {
        world.isTableAway = !world.isTableAway;
      }
      if (random.next() < 0.004) {
        world.kill(daemon);
      }
    };
    await run(context, world, 90_000, step);
  }
});

test.run();

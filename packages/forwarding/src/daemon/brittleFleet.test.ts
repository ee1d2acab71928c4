/** What fleets of several sizes send to upstreams that fall over when they turn many requests away. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { BrittleFleet, type BrittleFleetOptions } from './testSupport/brittleFleet.js';

interface Context {
  clock: Clock;
}

const test = suite<Context>('brittle upstreams in a fleet', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: 1_700_000_000_000 });
});

test.after.each(({ clock }) => clock.uninstall());

const POOL = { upstreams: 3, slots: 6, waitingPlaces: 2, workMs: 30, bearablePerS: 4 };
const MS_PER_S = 1_000;

/** From the first statement until all must heed it. */
const CONTACT_MS = 3_000;
const MEASURED_MS = 6_000;

interface Played {
  readonly falls: number;
  /** Of what the upstreams can do. */
  readonly usedShare: number;
  /** Of what was asked for. */
  readonly servedShare: number;
  readonly messagesPerRequest: number;
}

type Disturbance = (fleet: BrittleFleet, stepIndex: number) => void;

const play = async (
  clock: Clock,
  options: Partial<BrittleFleetOptions> & { readonly daemons: number },
  load: number,
  disturb: Disturbance = () => {},
): Promise<Played> => {
  const fleet = new BrittleFleet(clock, { ...POOL, ...options });
  const { upstreams, slots, workMs, bearablePerS } = fleet.options;
  const capacityPerS = (upstreams * slots * MS_PER_S) / workMs;
  const perS = capacityPerS * load;
  await fleet.run(500, Math.min(perS, capacityPerS / 2));
  fleet.stated = { kind: 'brittle', rejectionsPerS: bearablePerS };
  await fleet.run(CONTACT_MS, perS);
  const sinceMs = performance.now();
  fleet.network.clearTraffic();
  for (let step = 0; step < MEASURED_MS / MS_PER_S; step += 1) {
    disturb(fleet, step);
    await fleet.run(MS_PER_S, perS);
  }
  const served = fleet.endsAtMs.served.filter((atMs) => atMs >= sinceMs).length;
  const asked = (perS * MEASURED_MS) / MS_PER_S;
  const sent = fleet.network.traffic.reduce((sum, one) => sum + one.sent, 0);
  return {
    falls: fleet.fallsAtMs.filter((atMs) => atMs >= sinceMs).length,
    usedShare: served / ((capacityPerS * MEASURED_MS) / MS_PER_S),
    servedShare: served / asked,
    messagesPerRequest: sent / asked,
  };
};

const describe = (played: Played): string =>
  Object.entries(played)
    .map(([name, value]) => `${name} ${Number(value).toFixed(3)}`)
    .join(', ');

/** With a third of the requests that fit nearly all are served, with more most of the capacity is used. */
const MIN_SERVED_SHARE = 0.97;
const MIN_USED_SHARE = 0.7;

for (const daemons of [2, 9, 18, 64, 400]) {
  // Guards against a limit that each daemon keeps by itself, where many share few places.
  test(`${daemons} daemons with a third of the requests that fit are served`, async ({ clock }) => {
    const played = await play(clock, { daemons }, 1 / 3);
    assert.is(played.falls, 0, describe(played));
    assert.ok(played.servedShare >= MIN_SERVED_SHARE, describe(played));
  });

  // Guards against an overload that makes the upstreams fall over, or leaves them idle.
  test(`${daemons} daemons with more requests than fit use the upstreams`, async ({ clock }) => {
    const played = await play(clock, { daemons }, 4 / 3);
    assert.is(played.falls, 0, describe(played));
    assert.ok(played.usedShare >= MIN_USED_SHARE, describe(played));
  });
}

// Guards against messages and timers on days on which no upstream is brittle.
test('nothing is told or scheduled while no upstream is brittle', async ({ clock }) => {
  const fleet = new BrittleFleet(clock, { ...POOL, daemons: 9 });
  await fleet.run(MS_PER_S, 100);
  await clock.tickAsync(MS_PER_S);
  assert.equal(fleet.network.traffic, []);
  assert.is(clock.countTimers(), 0);
});

test('nobody falls over while datagrams are lost', async ({ clock }) => {
  const played = await play(clock, { daemons: 18, lossShare: 0.05 }, 1);
  assert.is(played.falls, 0, describe(played));
});

test('nobody falls over while upstreams are silent for a second', async ({ clock }) => {
  const played = await play(clock, { daemons: 18 }, 1, (fleet, step) => {
    if (step % 2 === 0) {
      fleet.silenceOne(MS_PER_S);
    }
  });
  assert.is(played.falls, 0, describe(played));
});

// Guards against owners that lend their places again because a new process knows nothing of the old one's.
test('nobody falls over while a third of the daemons restarts', async ({ clock }) => {
  const played = await play(clock, { daemons: 18, workMs: 300 }, 1, (fleet, step) => {
    if (step === 1) {
      fleet.restart(1 / 3);
    }
  });
  assert.is(played.falls, 0, describe(played));
});

test('nobody falls over while a data centre is cut off from the others', async ({ clock }) => {
  const played = await play(clock, { daemons: 18 }, 1, (fleet, step) => {
    fleet.network.setCut('dc-1', step >= 1 && step < 4);
  });
  assert.is(played.falls, 0, describe(played));
});

test('engines with many places and long requests are used', async ({ clock }) => {
  const engines = { upstreams: 6, slots: 32, workMs: 900, waitingPlaces: 4 };
  const played = await play(clock, { daemons: 64, ...engines }, 4 / 3);
  assert.is(played.falls, 0, describe(played));
  assert.ok(played.usedShare >= MIN_USED_SHARE, describe(played));
});

test.run();

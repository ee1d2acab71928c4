/** What the operator and the platform do by day: changes, keys, roll-outs, upstreams that come and go. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { waitUntil } from '../../soak/watch/repeat.js';
import { DATA_CENTRES, DRAIN_MS } from '../constants.js';
import { USUAL_FAILURE_SHARE, type BackEnd, type ServiceName } from '../outside/backEnds.js';
import type { Fault, SoakWorld } from '../world.js';

const STORM_CHANGES = 12;
const STORM_GAP_MS = 80;
const STAY_AFTER_DRAIN_MS = 800;
const GREY_MS = 2_000;
const GREY_SHARE = 0.5;
const ROLLOUT_S = 6;
const BAD_SHARE = 0.6;
const ROLLOUT_POLL_MS = 100;
const MS_PER_S = 1_000;

/** Daemons complete a roll-out later where too few answers have proven the version so far. */
const MAX_ROLLOUT_MS = 2 * ROLLOUT_S * MS_PER_S;

const services: readonly ServiceName[] = ['plain', 'models'];

/** Acts on an open upstream, if there is one. */
const withBackEnd =
  (act: (world: SoakWorld, backEnd: BackEnd, random: Random) => Promise<void>): Fault =>
  async (world, random) => {
    const service = pickRandom(services, random) ?? 'plain';
    const backEnd = pickRandom(world.backEnds.listOpen(service), random);
    if (backEnd !== undefined) {
      await act(world, backEnd, random);
    }
  };

export const stormConfiguration: Fault = ({ operator, faultLog }, random) =>
  faultLog.during('configuration', 'stormConfiguration', async () => {
    for (let index = 0; index < STORM_CHANGES; index += 1) {
      if (random.next() < 0.5) {
        operator.addRoute();
      } else {
        operator.apply();
      }
      await sleep(STORM_GAP_MS);
    }
  });

export const revokeKey: Fault = async ({ operator, faultLog }, random) => {
  const team = pickRandom(operator.teams, random);
  if (team !== undefined) {
    await faultLog.during('configuration', 'revokeKey', () => operator.revokeKey(team));
  }
};

/** A new upstream comes, an old one drains and leaves; some never say that they drain. */
export const replaceUpstream: Fault = withBackEnd((world, old, random) => {
  const { operator, backEnds, faultLog } = world;
  return faultLog.during('fleet of upstreams', 'replaceUpstream', async () => {
    await operator.addColdBackEnd(old.service, old.version);
    operator.sayLeaving(old);
    if (old.isOpen && random.next() < 0.7) {
      operator.drain(old);
    } else {
      operator.remove(old);
    }
    await sleep(DRAIN_MS + STAY_AFTER_DRAIN_MS);
    operator.remove(old);
    backEnds.stop(old);
  });
});

/**
 * An old upstream says only in its answers that it leaves, and is listed as ready until it is gone, as
 * while the store is away.
 */
export const replaceUnannounced: Fault = withBackEnd(({ operator, backEnds, faultLog }, old) =>
  faultLog.during('fleet of upstreams', 'replaceUnannounced', async () => {
    await operator.addColdBackEnd(old.service, old.version);
    operator.sayLeaving(old);
    await sleep(2 * DRAIN_MS + STAY_AFTER_DRAIN_MS);
    operator.remove(old);
    backEnds.stop(old);
  }),
);

/** Gone without a word; the platform notices later. */
export const crashUpstream: Fault = withBackEnd(({ operator, backEnds, faultLog }, old) =>
  faultLog.during('upstreams', 'crashUpstream', async () => {
    backEnds.stop(old);
    await operator.addColdBackEnd(old.service, old.version);
    await sleep(STAY_AFTER_DRAIN_MS);
    operator.remove(old);
  }),
);

export const greyUpstream: Fault = withBackEnd(({ faultLog }, backEnd) =>
  faultLog.during('upstreams', 'greyUpstream', async () => {
    const { failureShare } = backEnd;
    Object.assign(backEnd, { failureShare: GREY_SHARE });
    await sleep(GREY_MS);
    Object.assign(backEnd, { failureShare });
  }),
);

/** An upstream sends answers twice, bytes that are no answer, and events without end. */
export const garbleUpstream: Fault = withBackEnd(({ faultLog }, backEnd) =>
  faultLog.during('upstreams', 'garbleUpstream', async () => {
    Object.assign(backEnd, { isGarbling: true });
    await sleep(GREY_MS);
    Object.assign(backEnd, { isGarbling: false });
  }),
);

const RATE_LIMITS_PER_S = [0.3, 1, 2.7, 8];
const MIN_LIMIT_MS = 4_500;
const LIMIT_SPREAD_MS = 6_000;

/** An overloaded upstream names a rate limit in its answers for a while. */
export const limitRate: Fault = withBackEnd(({ operator, faultLog }, backEnd, random) =>
  faultLog.during('fleet of upstreams', 'limitRate', async () => {
    const end = operator.limitRate(backEnd, pickRandom(RATE_LIMITS_PER_S, random) ?? 1);
    await sleep(MIN_LIMIT_MS + random.nextInt(LIMIT_SPREAD_MS));
    end();
  }),
);

const SHED_SHARE = 0.4;
const BACK_OFFS_S = [0.7, 1.5, 3];
const MIN_SHED_MS = 1_000;
const SHED_SPREAD_MS = 4_000;

/** An upstream turns requests away for a while and asks for a back-off. */
export const shed: Fault = withBackEnd(({ faultLog }, backEnd, random) =>
  faultLog.during('fleet of upstreams', 'shed', async () => {
    const backOffS = pickRandom(BACK_OFFS_S, random) ?? 1;
    Object.assign(backEnd, { shedding: { share: SHED_SHARE, backOffS } });
    await sleep(MIN_SHED_MS + random.nextInt(SHED_SPREAD_MS));
    Object.assign(backEnd, { shedding: undefined });
  }),
);

const MIN_EVACUATION_MS = 500;
const EVACUATION_SPREAD_MS = 5_000;

const evacuateOne =
  (dataCentres: readonly string[]): Fault =>
  async ({ operator, faultLog }, random) => {
    const dataCentre = pickRandom(dataCentres, random) ?? '';
    await faultLog.during('fleet of upstreams', 'evacuate', async () => {
      const takeBack = operator.evacuate(dataCentre);
      await sleep(MIN_EVACUATION_MS + random.nextInt(EVACUATION_SPREAD_MS));
      takeBack();
    });
  };

export const evacuate: Fault = evacuateOne(DATA_CENTRES.slice(0, 2));

/** Overlaps the other one: both, down to one data centre that is left. */
export const evacuateAnother: Fault = evacuateOne(DATA_CENTRES.slice(2));

/** All upstreams of a data centre turn cold by themselves. */
export const turnCold: Fault = async ({ operator, backEnds, faultLog }, random) => {
  const dataCentre = pickRandom(DATA_CENTRES, random);
  await faultLog.during('fleet of upstreams', 'turnCold', () =>
    backEnds.all
      .filter((one) => one.dataCentre === dataCentre && operator.isStaying(one))
      .forEach((backEnd) => operator.turnCold(backEnd, true)),
  );
};

const isFinal = (state: string | undefined): boolean =>
  state === 'completed' || state === 'rolled_back';

const rollOut = async ({ operator, backEnds }: SoakWorld, failureShare: number): Promise<void> => {
  const old = backEnds.listOpen('models');
  const version = `v${backEnds.all.length}`;
  const fresh = await Promise.all(old.map(() => operator.addColdBackEnd('models', version)));
  fresh.forEach((backEnd) => Object.assign(backEnd, { failureShare }));
  operator.orderRollout('models', version, ROLLOUT_S, failureShare === USUAL_FAILURE_SHARE);
  await waitUntil(
    () => isFinal(operator.readRolloutState('models')),
    MAX_ROLLOUT_MS,
    ROLLOUT_POLL_MS,
  );
  const isCompleted = operator.readRolloutState('models') === 'completed';
  // Other lanes may have crashed or replaced some meanwhile.
  const leaving = backEnds
    .listOpen('models')
    .filter((backEnd) => (backEnd.version === version) !== isCompleted);
  leaving.forEach((backEnd) => operator.drain(backEnd));
  await sleep(DRAIN_MS + STAY_AFTER_DRAIN_MS);
  leaving.forEach((backEnd) => {
    operator.remove(backEnd);
    backEnds.stop(backEnd);
  });
};

export const goodRollout: Fault = (world) =>
  world.faultLog.during('fleet of upstreams', 'goodRollout', () =>
    rollOut(world, USUAL_FAILURE_SHARE),
  );

export const badRollout: Fault = (world) =>
  world.faultLog.during('fleet of upstreams', 'badRollout', () => rollOut(world, BAD_SHARE));

/** What the operator and the platform do by day: changes, keys, roll-outs, upstreams that come and go. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { DRAIN_MS } from '../constants.js';
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

const services: readonly ServiceName[] = ['plain', 'models'];

const pickBackEnd = ({ backEnds }: SoakWorld, random: Random): BackEnd | undefined =>
  pickRandom(backEnds.listOpen(pickRandom(services, random) ?? 'plain'), random);

export const stormConfiguration: Fault = async ({ operator, faultLog }, random) => {
  const end = faultLog.begin('configuration', 'stormConfiguration');
  for (let index = 0; index < STORM_CHANGES; index += 1) {
    if (random.next() < 0.5) {
      operator.addRoute();
    } else {
      operator.apply();
    }
    await sleep(STORM_GAP_MS);
  }
  end();
};

export const revokeKey: Fault = ({ operator, faultLog }, random) => {
  const team = pickRandom(operator.teams, random);
  if (team !== undefined) {
    faultLog.begin('configuration', 'revokeKey')();
    operator.revokeKey(team);
  }
  return Promise.resolve();
};

/** A new upstream comes, an old one drains and leaves; some never say that they drain. */
export const replaceUpstream: Fault = async (world, random) => {
  const old = pickBackEnd(world, random);
  if (old === undefined) {
    return;
  }
  const end = world.faultLog.begin('fleet of upstreams', 'replaceUpstream');
  await world.operator.addBackEnd(old.service, old.version);
  if (old.isOpen && random.next() < 0.7) {
    world.operator.drain(old);
  } else {
    world.operator.remove(old);
  }
  await sleep(DRAIN_MS + STAY_AFTER_DRAIN_MS);
  world.operator.remove(old);
  world.backEnds.stop(old);
  end();
};

/** Gone without a word; the platform notices later. */
export const crashUpstream: Fault = async (world, random) => {
  const old = pickBackEnd(world, random);
  if (old === undefined) {
    return;
  }
  const end = world.faultLog.begin('upstreams', 'crashUpstream');
  world.backEnds.stop(old);
  await world.operator.addBackEnd(old.service, old.version);
  await sleep(STAY_AFTER_DRAIN_MS);
  world.operator.remove(old);
  end();
};

export const greyUpstream: Fault = async (world, random) => {
  const backEnd = pickBackEnd(world, random);
  if (backEnd === undefined) {
    return;
  }
  const end = world.faultLog.begin('upstreams', 'greyUpstream');
  const { failureShare } = backEnd;
  backEnd.failureShare = GREY_SHARE;
  await sleep(GREY_MS);
  backEnd.failureShare = failureShare;
  end();
};

const rollOut = async (world: SoakWorld, failureShare: number): Promise<void> => {
  const { operator, backEnds } = world;
  const old = backEnds.listOpen('models');
  const version = `v${backEnds.all.length}`;
  const end = world.faultLog.begin(
    'fleet of upstreams',
    failureShare > USUAL_FAILURE_SHARE ? 'badRollout' : 'goodRollout',
  );
  const fresh = await Promise.all(old.map(() => operator.addBackEnd('models', version)));
  fresh.forEach((backEnd) => Object.assign(backEnd, { failureShare }));
  operator.orderRollout('models', version, ROLLOUT_S);
  const endAtMs = performance.now() + ROLLOUT_S * 1_000;
  const isOver = (): boolean => operator.readRolloutState('models') !== 'running';
  await sleep(1_000);
  while (!isOver() && performance.now() < endAtMs) {
    await sleep(ROLLOUT_POLL_MS);
  }
  const leaving = operator.readRolloutState('models') === 'completed' ? old : fresh;
  // Another lane may have crashed some meanwhile.
  leaving.filter(({ isOpen }) => isOpen).forEach((backEnd) => operator.drain(backEnd));
  await sleep(DRAIN_MS + STAY_AFTER_DRAIN_MS);
  leaving.forEach((backEnd) => {
    operator.remove(backEnd);
    backEnds.stop(backEnd);
  });
  end();
};

export const goodRollout: Fault = (world) => rollOut(world, USUAL_FAILURE_SHARE);

export const badRollout: Fault = (world) => rollOut(world, BAD_SHARE);

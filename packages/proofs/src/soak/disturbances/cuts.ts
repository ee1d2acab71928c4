/** Cuts of the network and connections that go silent. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { sampleDataCentres } from '@snipehaven/demo';
import type { CutKind } from '@snipehaven/standins';
import {
  aroundDataCentre,
  betweenDataCentres,
  toPlatform,
  type LinkFilter,
  type TargetKind,
} from '../network/forwardedNetwork.js';
import type { Disturbance, SoakWorld } from '../types.js';

const CUT_MS = 4_000;
const CUT_SPREAD_MS = 11_000;
const AFTER_SILENCE_MS = 4_000;

const drawCutKind = (random: Random): CutKind => (random.next() < 0.5 ? 'silent' : 'broken');

export const drawCutMs = (random: Random): number => CUT_MS + random.nextInt(CUT_SPREAD_MS);

const drawDataCentre = (random: Random): string => pickRandom(sampleDataCentres, random) as string;

interface CutPlan {
  readonly name: string;
  readonly filter: LinkFilter;
  /** Data centres that lose the platform. */
  readonly withoutPlatform: readonly string[];
}

/** Cuts while the action runs. */
const cutDuring = async (
  { network, facts, say }: SoakWorld,
  { name, filter, withoutPlatform }: CutPlan,
  random: Random,
  act: () => Promise<void>,
): Promise<void> => {
  const kind = drawCutKind(random);
  const heal = network.cut(filter, kind);
  const endFaults = withoutPlatform.map((place) => facts.beginPlatformFault(place));
  const endCut = facts.beginCut();
  say(`${name}: ${kind}`);
  try {
    await act();
  } finally {
    heal();
    endFaults.forEach((end) => end());
    endCut();
    say(`${name}: healed`);
  }
};

/** Cuts a data centre off from all else while the action runs. */
export const isolateDuring = async (
  world: SoakWorld,
  dataCentre: string,
  random: Random,
  act: () => Promise<void>,
): Promise<void> => {
  const fromMs = Date.now();
  const filter = aroundDataCentre(dataCentre);
  const plan = {
    name: `${dataCentre} is cut off from all else`,
    filter,
    withoutPlatform: [dataCentre],
  };
  await cutDuring(world, plan, random, act);
  world.facts.cutOffs.push({ dataCentre, fromMs, untilMs: Date.now() });
};

export const isolateDataCentre: Disturbance = (world, random) =>
  isolateDuring(world, drawDataCentre(random), random, () => sleep(drawCutMs(random)));

export const cutTwoDataCentres: Disturbance = (world, random) => {
  const one = drawDataCentre(random);
  const others = sampleDataCentres.filter((dataCentre) => dataCentre !== one);
  const other = pickRandom(others, random) as string;
  const name = `${one} and ${other} are cut from each other`;
  const plan = { name, filter: betweenDataCentres(one, other), withoutPlatform: [] };
  return cutDuring(world, plan, random, () => sleep(drawCutMs(random)));
};

export const cutFromPlatform: Disturbance = (world, random) => {
  const dataCentre = drawDataCentre(random);
  const plan = {
    name: `${dataCentre} is cut from the platform`,
    filter: toPlatform(dataCentre),
    withoutPlatform: [dataCentre],
  };
  return cutDuring(world, plan, random, () => sleep(drawCutMs(random)));
};

const silence =
  (kind: TargetKind): Disturbance =>
  async ({ network, say }, random) => {
    const from = drawDataCentre(random);
    network.silence((link) => link.from === from && link.target.kind === kind);
    say(`connections from ${from} to each ${kind} go silent for good`);
    await sleep(AFTER_SILENCE_MS);
  };

export const silencePeers = silence('peer');
export const silencePlatform = silence('platform');
export const silenceUpstreams = silence('upstream');

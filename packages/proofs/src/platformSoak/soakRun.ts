/** One run: processes, load, faults, healing, judgement. */
import { createRandom, pickRandom, sleep, type Random } from '@snipehaven/common';
import { StandinStore } from '@snipehaven/standins';
import { Balancer } from './callers/balancer.js';
import { Callers } from './callers/callers.js';
import { CALM_MS, HEAL_MS } from './constants.js';
import { FaultLog } from './faultLog.js';
import { lanesOf, replaceCrashed, type Scenario } from './faults/index.js';
import { Fleet } from './fleet.js';
import { judge } from './judge/judge.js';
import { BackEnds, type ServiceName } from './outside/backEnds.js';
import { Operator } from './outside/operator.js';
import type { Violation } from './types.js';
import type { Fault, SoakWorld } from './world.js';

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly scenario: Scenario;
  readonly vmsPerDataCentre: number;
  readonly callers: number;
  /** For settings and logs. */
  readonly folder: string;
  /** The first two bytes of the VMs' addresses. */
  readonly network: string;
}

export interface SoakOutcome {
  readonly violations: readonly Violation[];
  readonly attempts: number;
  readonly served: number;
  readonly faults: Readonly<Record<string, number>>;
}

const MS_PER_S = 1_000;
const MAX_GAP_MS = 1_200;
const LANE_SEED_STEP = 104_729;
const FIRST_BACK_ENDS: Readonly<Record<ServiceName, number>> = { plain: 3, models: 4 };

const strikeUntil = async (
  endAtMs: number,
  faults: readonly Fault[],
  world: SoakWorld,
  random: Random,
): Promise<void> => {
  while (performance.now() < endAtMs) {
    await sleep(random.nextInt(MAX_GAP_MS));
    await pickRandom(faults, random)?.(world, random);
  }
};

const createWorld = (options: SoakOptions): SoakWorld => {
  const store = new StandinStore();
  const backEnds = new BackEnds(options.seed);
  return {
    store,
    backEnds,
    operator: new Operator(store, backEnds),
    fleet: new Fleet(options.folder, options.network, options.vmsPerDataCentre),
    faultLog: new FaultLog(),
    attempts: [],
  };
};

const startWorld = async (world: SoakWorld): Promise<void> => {
  const { store, operator, fleet, backEnds } = world;
  await store.start();
  operator.apply();
  backEnds.onCrash((backEnd) => replaceCrashed(world, backEnd));
  for (const [service, count] of Object.entries(FIRST_BACK_ENDS)) {
    for (let index = 0; index < count; index += 1) {
      await operator.addBackEnd(service as ServiceName);
    }
  }
  await fleet.start(store.address);
};

const strike = async (world: SoakWorld, options: SoakOptions): Promise<void> => {
  const { seed, seconds, scenario } = options;
  const endAtMs = performance.now() + seconds * MS_PER_S;
  await Promise.all(
    lanesOf[scenario].map((faults, index) =>
      strikeUntil(endAtMs, faults, world, createRandom(seed + index * LANE_SEED_STEP)),
    ),
  );
};

const endWorld = async ({ fleet, backEnds, store }: SoakWorld): Promise<void> => {
  await fleet.stop();
  backEnds.all.filter(({ isOpen }) => isOpen).forEach((backEnd) => backEnds.stop(backEnd));
  store.stop();
};

export const runSoak = async (options: SoakOptions): Promise<SoakOutcome> => {
  const world = createWorld(options);
  try {
    await startWorld(world);
    const balancer = new Balancer(world.fleet);
    const { seed, callers: count } = options;
    const { operator, attempts: records } = world;
    const callers = new Callers({ seed, count, operator, balancer, records });
    const calling = callers.run();
    await strike(world, options);
    await sleep(HEAL_MS);
    const healedAtMs = performance.now();
    await sleep(CALM_MS);
    callers.stop();
    await calling;
    balancer.stop();
    const violations = await judge(world, records, healedAtMs);
    const served = records.filter(({ status, isWhole }) => status === 200 && isWhole).length;
    return { violations, attempts: records.length, served, faults: world.faultLog.countByName() };
  } finally {
    await endWorld(world);
  }
};

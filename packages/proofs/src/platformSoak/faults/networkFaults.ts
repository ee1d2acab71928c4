/** Connections delayed, reset, cut and silenced, to upstreams and to the store. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import type { CutKind, SilentForwarder } from '@snipehaven/standins';
import type { BackEnd } from '../outside/backEnds.js';
import { pickVm, type Fault, type SoakWorld } from '../world.js';

const MIN_CUT_MS = 400;
const CUT_SPREAD_MS = 3_000;
const DELAYS_MS = [20, 80, 300];

type PathFault = (path: SilentForwarder, random: Random) => Promise<void>;

const cutFor =
  (kind: CutKind): PathFault =>
  async (path, random) => {
    path.cut(kind);
    await sleep(MIN_CUT_MS + random.nextInt(CUT_SPREAD_MS));
    path.heal();
  };

const pathFaults: readonly PathFault[] = [
  cutFor('silent'),
  cutFor('oneWay'),
  cutFor('broken'),
  (path) => {
    path.silenceConnections();
    return Promise.resolve();
  },
  (path) => {
    path.resetConnections();
    return Promise.resolve();
  },
  async (path, random) => {
    path.delay(pickRandom(DELAYS_MS, random) ?? 0);
    path.resetConnections();
    await sleep(MIN_CUT_MS + random.nextInt(CUT_SPREAD_MS));
    path.delay(0);
    path.resetConnections();
  },
];

const strike = (path: SilentForwarder, random: Random): Promise<void> => {
  const fault = pickRandom(pathFaults, random) as PathFault;
  return fault(path, random);
};

const pickBackEnd = ({ backEnds }: SoakWorld, random: Random): BackEnd | undefined =>
  pickRandom([...backEnds.listOpen('plain'), ...backEnds.listOpen('models')], random);

export const spoilUpstreamPath: Fault = async (world, random) => {
  const backEnd = pickBackEnd(world, random);
  if (backEnd !== undefined) {
    await world.faultLog.during('upstreams', 'spoilUpstreamPath', () =>
      strike(backEnd.forwarder, random),
    );
  }
};

export const spoilStorePath: Fault = async (world, random) => {
  const vm = pickVm(world, random);
  await world.faultLog.during(vm.name, 'spoilStorePath', () =>
    strike(world.fleet.getStorePath(vm), random),
  );
};

/** All paths of a data centre to the store; a part of the machines that the store turns away. */
export const cutDataCentreFromStore: Fault = async (world, random) => {
  const { fleet, faultLog } = world;
  const { dataCentre } = pickVm(world, random);
  const cut = fleet.vms.filter((vm) => vm.dataCentre === dataCentre);
  const ends = cut.map((vm) => faultLog.begin(vm.name, 'cutDataCentreFromStore'));
  cut.forEach((vm) => fleet.getStorePath(vm).cut('silent'));
  await sleep(MIN_CUT_MS + random.nextInt(CUT_SPREAD_MS) * 2);
  cut.forEach((vm) => fleet.getStorePath(vm).heal());
  ends.forEach((end) => end());
};

/** Daemons killed, paused, restarted, told to read their settings, and their time of day stepped. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { GRACE_S } from '../constants.js';
import type { VmState } from '../types.js';
import type { Fault, SoakWorld } from '../world.js';

const MIN_PAUSE_MS = 300;
const PAUSE_SPREAD_MS = 3_500;
const SERIES = 3;
const SERIES_GAP_MS = 400;
const HERD_SHARE = 0.6;
const STEP_MS = 1_500;
const SOON_MS = 150;

const pickVm = ({ fleet }: SoakWorld, random: Random): VmState =>
  pickRandom(fleet.vms, random) as VmState;

const killOne = async ({ fleet, faultLog }: SoakWorld, vm: VmState): Promise<void> => {
  const end = faultLog.begin(vm.name, 'kill');
  await fleet.restart(vm, 'SIGKILL');
  end();
};

/** Planned work: the VM stays calm in the fault log, so that a request lost by it counts. */
const terminate = async ({ fleet, faultLog }: SoakWorld, vm: VmState): Promise<void> => {
  const end = faultLog.begin(`${vm.name} planned`, 'terminate');
  await fleet.restart(vm, 'SIGTERM');
  end();
};

export const kill: Fault = (world, random) => killOne(world, pickVm(world, random));

export const killHerd: Fault = async (world, random) => {
  const herd = world.fleet.vms.filter(() => random.next() < HERD_SHARE);
  await Promise.all(herd.map((vm) => killOne(world, vm)));
};

export const restartInTurn: Fault = async (world, random) => {
  for (let index = 0; index < SERIES; index += 1) {
    await terminate(world, pickVm(world, random));
    await sleep(SERIES_GAP_MS);
  }
};

/** A second signal comes while the first one is worked on, and the settings change too. */
export const restartAndReload: Fault = async (world, random) => {
  const vm = pickVm(world, random);
  const over = terminate(world, vm);
  await sleep(SOON_MS);
  vm.process?.signal('SIGHUP');
  vm.process?.signal('SIGTERM');
  await over;
};

export const pause: Fault = async ({ fleet, faultLog }, random) => {
  const vm = pickRandom(fleet.vms, random) as VmState;
  const end = faultLog.begin(vm.name, 'pause');
  const { process: child } = vm;
  child?.signal('SIGSTOP');
  await sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS));
  child?.signal('SIGCONT');
  end();
};

/** Some are told by a signal; a changed file without one must be noticed too. */
export const reload: Fault = async (world, random) => {
  for (let index = 0; index < SERIES; index += 1) {
    const vm = pickVm(world, random);
    const end = world.faultLog.begin(`${vm.name} planned`, 'reload');
    world.fleet.writeSettings(vm, GRACE_S + (index % 2));
    if (random.next() < 0.5) {
      vm.process?.signal('SIGHUP');
    }
    await sleep(SERIES_GAP_MS);
    end();
  }
};

export const stepClock: Fault = async (world, random) => {
  const vm = pickVm(world, random);
  const end = world.faultLog.begin(vm.name, 'stepClock');
  vm.process?.signal('SIGUSR2');
  await sleep(STEP_MS);
  vm.process?.signal('SIGUSR2');
  end();
};

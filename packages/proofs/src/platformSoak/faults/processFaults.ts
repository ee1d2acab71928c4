/** Daemons killed, paused, restarted, told to read their settings, and their time of day stepped. */
import { pickRandom, sleep } from '@snipehaven/common';
import { GRACE_S } from '../constants.js';
import { handlesSignal } from '../handlesSignal.js';
import type { VmState } from '../types.js';
import { pickVm, type Fault, type SoakWorld } from '../world.js';

const MIN_PAUSE_MS = 300;
const PAUSE_SPREAD_MS = 3_500;
const SERIES = 3;
const SERIES_GAP_MS = 400;
const HERD_SHARE = 0.6;
const STEP_MS = 1_500;
const SOON_MS = 150;
const SIGNAL_POLL_MS = 2;

/** Long enough that a part of it lies beyond the contact time. */
const MIN_LOST_PATHS_MS = 2_000;
const LOST_PATHS_SPREAD_MS = 6_000;
const LOST_PATHS_SHARES = [0, 0.5, 0.8];

const killOne = ({ fleet, faultLog }: SoakWorld, vm: VmState): Promise<void> =>
  faultLog.during(vm.name, 'kill', () => fleet.restart(vm, 'SIGKILL'));

/** Planned work: the VM stays calm in the fault log, so that a request lost by it counts. */
const terminate = ({ fleet, faultLog }: SoakWorld, vm: VmState): Promise<void> =>
  faultLog.during(`${vm.name} planned`, 'terminate', () => fleet.restart(vm, 'SIGTERM'));

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

export const pause: Fault = async (world, random) => {
  const vm = pickVm(world, random);
  await world.faultLog.during(vm.name, 'pause', async () => {
    const { process: child } = vm;
    child?.signal('SIGSTOP');
    await sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS));
    child?.signal('SIGCONT');
  });
};

/**
 * Sends SIGHUP once the start file has run; its last statement installs the SIGUSR2 handler. Before
 * its first statement no program can handle a signal, and the platform does not signal a process that
 * it has just started with the settings in effect.
 */
const sendReload = async ({ process: child }: VmState): Promise<void> => {
  while (child?.isRunning && !handlesSignal(child.pid, 'SIGUSR2')) {
    await sleep(SIGNAL_POLL_MS);
  }
  child?.signal('SIGHUP');
};

/** Some are told by a signal; a changed file without one must be noticed too. */
export const reload: Fault = async (world, random) => {
  for (let index = 0; index < SERIES; index += 1) {
    const vm = pickVm(world, random);
    await world.faultLog.during(`${vm.name} planned`, 'reload', async () => {
      world.fleet.writeSettings(vm, GRACE_S + (index % 2));
      if (random.next() < 0.5) {
        await sendReload(vm);
      }
      await sleep(SERIES_GAP_MS);
    });
  }
};

/**
 * False if the process exits first. Until the SIGUSR2 handler is installed, the signal's default action
 * terminates the process.
 */
const waitForFirstLine = async ({ process: child }: VmState): Promise<boolean> => {
  try {
    await child?.firstLine;
    return true;
  } catch {
    return false;
  }
};

const sendClockStep = async (vm: VmState): Promise<void> => {
  if (await waitForFirstLine(vm)) {
    vm.process?.signal('SIGUSR2');
  }
};

export const stepClock: Fault = async (world, random) => {
  const vm = pickVm(world, random);
  // A VM that is still starting does not count as disturbed.
  await waitForFirstLine(vm);
  await world.faultLog.during(vm.name, 'stepClock', async () => {
    await sendClockStep(vm);
    await sleep(STEP_MS);
    await sendClockStep(vm);
  });
};

const signalPaths = ({ faultLog }: SoakWorld, vm: VmState, signal: 'SIGWINCH' | 'SIGURG'): void => {
  vm.process?.signal(signal);
  faultLog.begin(vm.name, 'signalPaths')();
};

/**
 * One VM or many lose their paths to all upstreams. They count as disturbed at the beginning and at the
 * end alone: in between they must serve by way of other VMs.
 */
export const losePaths: Fault = async (world, random) => {
  const share = pickRandom(LOST_PATHS_SHARES, random) ?? 0;
  const one = pickVm(world, random);
  const vms = world.fleet.vms.filter((vm) => vm === one || random.next() < share);
  const ends = vms.map((vm) => world.faultLog.begin(`${vm.name} cut off`, 'losePaths'));
  vms.forEach((vm) => signalPaths(world, vm, 'SIGWINCH'));
  await sleep(MIN_LOST_PATHS_MS + random.nextInt(LOST_PATHS_SPREAD_MS));
  vms.forEach((vm) => signalPaths(world, vm, 'SIGURG'));
  ends.forEach((end) => end());
};

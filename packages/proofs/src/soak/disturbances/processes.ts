/** Kills, freezes and graceful replacements of daemons. */
import { sleep, type Random } from '@snipehaven/common';
import type { RunningDaemon } from '@snipehaven/demo';
import { READY_TIMEOUT_MS } from '../constants.js';
import type { SoakWorld } from '../types.js';

/** What can be done to one daemon. */
export type ProcessDisturbance = (
  world: SoakWorld,
  daemon: RunningDaemon,
  random: Random,
) => Promise<void>;

/** Exit code of a daemon that says that it left something undone. */
const EXIT_UNFINISHED = 1;
/** A process's last lines reach its log a little after its end. */
const LOG_DELAY_MS = 300;
const GONE_MS = 200;
const GONE_SPREAD_MS = 2_500;
const SHORT_FREEZE_MS = 1_000;
const SHORT_FREEZE_SPREAD_MS = 5_000;
/** Past suspicion and the end of leases: the daemon's duties and records are adopted. */
const LONG_FREEZE_MS = 12_000;
const LONG_FREEZE_SPREAD_MS = 18_000;

const waitUntilReady = async (world: SoakWorld, daemon: RunningDaemon): Promise<boolean> => {
  const giveUpAtMs = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < giveUpAtMs) {
    const isReady = await world.deployment.waitUntilReady(daemon).then(
      () => true,
      () => false,
    );
    if (isReady) {
      return true;
    }
  }
  return false;
};

const replace = async (world: SoakWorld, daemon: RunningDaemon): Promise<void> => {
  const { deployment, facts, revisions, say } = world;
  const startedAtMs = Date.now();
  await deployment.replaceDaemon(daemon);
  if (!(await waitUntilReady(world, daemon))) {
    facts.invariants.push(`${daemon.vm.name} is not ready ${READY_TIMEOUT_MS} ms after its start`);
    return;
  }
  facts.replacedVms.add(daemon.vm.name);
  say(`${daemon.vm.name} is replaced, ready after ${Date.now() - startedAtMs} ms`);
  await revisions.checkReady(daemon, startedAtMs);
};

/** SIGKILL; a new process takes the VM's place after a while. */
export const killAndReplace: ProcessDisturbance = async (world, daemon, random) => {
  await world.violations.read(daemon);
  daemon.process.signal('SIGKILL');
  world.facts.kills.push({ vm: daemon.vm.name, atMs: Date.now() });
  world.say(`${daemon.vm.name} is killed`);
  await sleep(GONE_MS + random.nextInt(GONE_SPREAD_MS));
  await replace(world, daemon);
};

/**
 * Without the platform there is nowhere to write bills to: a daemon that has finished all requests then
 * ends with 1 and says how many records it left to its peer. Whether they are billed shows at the end.
 */
const isLeftToPeer = async (
  { facts, violations, say }: SoakWorld,
  daemon: RunningDaemon,
  fromMs: number,
): Promise<boolean> => {
  await sleep(LOG_DELAY_MS);
  const report = violations.readStopReport(daemon.vm.name);
  const isAway = facts.wasCutFromPlatform(daemon.vm.dataCentre, fromMs);
  say(`${daemon.vm.name} left ${report?.unflushedRecords} records to its peer`);
  return isAway && report?.unfinishedRequests === 0 && report.unflushedRecords > 0;
};

/** SIGTERM: the daemon must finish what it has and end with 0. */
export const stopAndReplace: ProcessDisturbance = async (world, daemon) => {
  const { facts, violations, say } = world;
  await violations.read(daemon);
  const fromMs = Date.now();
  daemon.process.signal('SIGTERM');
  say(`${daemon.vm.name} is told to stop`);
  const { code, signal } = await daemon.process.waitForExit();
  facts.stops.push({ vm: daemon.vm.name, fromMs, untilMs: Date.now() });
  if (code !== 0 && !(code === EXIT_UNFINISHED && (await isLeftToPeer(world, daemon, fromMs)))) {
    facts.invariants.push(`${daemon.vm.name}: graceful stop ended with ${code ?? signal}`);
  }
  await replace(world, daemon);
};

const freezeFor = async (
  world: SoakWorld,
  daemon: RunningDaemon,
  durationMs: number,
): Promise<void> => {
  const { facts, say } = world;
  facts.countFreeze();
  facts.frozenVms.add(daemon.vm.name);
  daemon.process.signal('SIGSTOP');
  say(`${daemon.vm.name} is frozen for ${durationMs} ms`);
  await sleep(durationMs);
  daemon.process.signal('SIGCONT');
  facts.frozenVms.delete(daemon.vm.name);
};

export const freezeShortly: ProcessDisturbance = (world, daemon, random) =>
  freezeFor(world, daemon, SHORT_FREEZE_MS + random.nextInt(SHORT_FREEZE_SPREAD_MS));

export const freezeLong: ProcessDisturbance = (world, daemon, random) =>
  freezeFor(world, daemon, LONG_FREEZE_MS + random.nextInt(LONG_FREEZE_SPREAD_MS));

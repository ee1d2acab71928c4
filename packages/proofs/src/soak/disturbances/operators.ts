/** What operators do while the rest goes on: races, withdrawals. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { callOperatorApi, sampleDataCentres, type RunningDaemon } from '@snipehaven/demo';
import { WITHDRAWAL_GRACE_MS, WITHDRAWN_VERSION } from '../constants.js';
import type { Disturbance, SoakWorld } from '../types.js';
import { PROBE_NAME } from '../watch/inForceProbe.js';
import { readStatus } from '../watch/daemonStatus.js';
import { waitUntil } from '../watch/repeat.js';
import { drawCutMs, isolateDuring } from './cuts.js';

const RACES = 6;
const RACE_PAUSE_MS = 250;
const MARK_KEY = `withdraw/${WITHDRAWN_VERSION}`;
const CALL_TIMEOUT_MS = 10_000;
const IN_FORCE_TIMEOUT_MS = 60_000;
const IN_FORCE_POLL_MS = 100;
const HOLD_MS = 6_000;
const RETRY_MS = 500;
const LIFT_TIMEOUT_MS = 60_000;

/** Operators change the same resource at different daemons at the same moment. */
export const operatorsRace: Disturbance = async (world, random) => {
  world.say('operators race each other');
  for (let round = 0; round < RACES; round += 1) {
    const ready = [...world.listReady()];
    const first = pickRandom(ready, random);
    const second = pickRandom(
      ready.filter((daemon) => daemon !== first),
      random,
    );
    if (first && second) {
      await world.journal.race([first, second], PROBE_NAME);
    }
    await sleep(RACE_PAUSE_MS);
  }
};

const callSafeMoves = async (daemon: RunningDaemon | undefined, path: string): Promise<boolean> => {
  if (daemon === undefined) {
    return false;
  }
  const body = { kind: 'withdraw', subject: WITHDRAWN_VERSION, reason: 'soak' };
  const answer = await callOperatorApi(
    daemon.operatorsUrl,
    'POST',
    path,
    body,
    CALL_TIMEOUT_MS,
  ).catch(() => undefined);
  return answer !== undefined && answer.status < 300;
};

const isMarkedAt = async (daemon: RunningDaemon, isActive: boolean): Promise<boolean> => {
  const status = await readStatus(daemon);
  return (
    status?.safeMoves.some(({ move }) => move.key === MARK_KEY && move.isActive === isActive) ??
    false
  );
};

/** Whether every daemon reports the mark so; one that is frozen or gone can't. */
const isMarkedEverywhere = async (
  { deployment, facts }: SoakWorld,
  isActive: boolean,
): Promise<boolean> => {
  if (facts.frozenVms.size > 0) {
    return false;
  }
  const reports = deployment.daemons.map((daemon) => isMarkedAt(daemon, isActive));
  return (await Promise.all(reports)).every((isMarked) => isMarked);
};

const withdraw = async (world: SoakWorld, random: Random, places: readonly string[]) => {
  const isDone = await waitUntil(
    () => {
      const ready = world.listReady().filter(({ vm }) => places.includes(vm.dataCentre));
      return callSafeMoves(pickRandom(ready, random), '/api/safe-moves');
    },
    IN_FORCE_TIMEOUT_MS,
    RETRY_MS,
  );
  if (!isDone) {
    world.facts.invariants.push(`${WITHDRAWN_VERSION} could not be withdrawn`);
  }
  world.say(`${WITHDRAWN_VERSION} is withdrawn at ${places.join(' or ')}`);
};

/** Waits until the withdrawal is in force, holds it for a while and lifts it. */
const holdAndLift = async (world: SoakWorld, random: Random): Promise<void> => {
  const { facts, say } = world;
  const isInForce = await waitUntil(
    () => isMarkedEverywhere(world, true),
    IN_FORCE_TIMEOUT_MS,
    IN_FORCE_POLL_MS,
  );
  if (!isInForce) {
    facts.configReverts.push(`a withdrawal is not in force after ${IN_FORCE_TIMEOUT_MS} ms`);
  } else {
    const inForceAtMs = Date.now() + WITHDRAWAL_GRACE_MS;
    say('the withdrawal is in force everywhere');
    await sleep(HOLD_MS);
    facts.withdrawals.push({ version: WITHDRAWN_VERSION, inForceAtMs, liftedAtMs: Date.now() });
  }
  const isLifted = await waitUntil(
    () => callSafeMoves(pickRandom(world.listReady(), random), '/api/safe-moves/lift'),
    LIFT_TIMEOUT_MS,
    RETRY_MS,
  );
  say(isLifted ? 'the withdrawal is lifted' : 'the withdrawal could not be lifted');
};

export const withdrawal: Disturbance = async (world, random) => {
  await withdraw(world, random, sampleDataCentres);
  await holdAndLift(world, random);
};

/** Withdrawn on one side of a cut; in force on the other only after it heals. */
export const withdrawalWhileCut: Disturbance = async (world, random) => {
  const cutOff = pickRandom(sampleDataCentres, random) as string;
  const isInside = random.next() < 0.5;
  const outside = sampleDataCentres.filter((dataCentre) => dataCentre !== cutOff);
  await isolateDuring(world, cutOff, random, async () => {
    await withdraw(world, random, isInside ? [cutOff] : outside);
    await sleep(drawCutMs(random));
  });
  await holdAndLift(world, random);
};

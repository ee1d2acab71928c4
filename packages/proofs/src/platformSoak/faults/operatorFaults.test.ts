/** The operator ends what a roll-out moves away from, and nothing before the roll-out has ended. */
import { createRandom } from '@snipehaven/common';
import { StandinStore } from '@snipehaven/standins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { VirtualClock } from '../../harness/virtualClock.js';
import { FaultLog } from '../faultLog.js';
import { Fleet } from '../fleet.js';
import { BackEnds } from '../outside/backEnds.js';
import { Operator } from '../outside/operator.js';
import type { SoakWorld } from '../world.js';
import { goodRollout } from './operatorFaults.js';

const OLD_STATUS = { to: 'v1', state: 'completed' };
const ORDER_LIMIT_MS = 10;
const ROLLOUT_LIMIT_MS = 12_000;

const startWorld = async (): Promise<SoakWorld> => {
  const store = new StandinStore();
  const backEnds = new BackEnds(1);
  const operator = new Operator(store, backEnds);
  await operator.addBackEnd('plain');
  await operator.addBackEnd('models');
  return {
    store,
    backEnds,
    operator,
    fleet: new Fleet('', '127.0', 0),
    faultLog: new FaultLog(),
    attempts: [],
  };
};

const listLeaving = ({ operator, backEnds }: SoakWorld): readonly string[] =>
  backEnds.all
    .filter(({ id }) => operator.leavings.some(({ upstream }) => upstream === id))
    .map(({ version }) => version);

const writeStatus = ({ store }: SoakWorld, status: unknown): void =>
  store.put('status', 'rollout/models', status);

interface StatusTimes {
  /** After the order. */
  readonly runningAtMs: number;
  readonly completedAtMs: number;
  readonly earlier?: unknown;
}

/** Plays a roll-out; returns the versions that leave before it is completed, and until its end. */
const playRollout = async ({
  runningAtMs,
  completedAtMs,
  earlier,
}: StatusTimes): Promise<{ beforeCompleted: readonly string[]; atEnd: readonly string[] }> => {
  const world = await startWorld();
  if (earlier !== undefined) {
    writeStatus(world, earlier);
  }
  const clock = new VirtualClock();
  try {
    let isOver = false;
    const playing = goodRollout(world, createRandom(1)).then(() => {
      isOver = true;
    });
    const { operator } = world;
    assert.ok(await clock.advanceUntil(() => operator.rollouts.length > 0, ORDER_LIMIT_MS));
    await clock.advance(runningAtMs);
    const to = operator.rollouts[0]?.to;
    writeStatus(world, { to, state: 'running' });
    await clock.advance(completedAtMs - runningAtMs);
    const beforeCompleted = listLeaving(world);
    writeStatus(world, { to, state: 'completed' });
    assert.ok(await clock.advanceUntil(() => isOver, ROLLOUT_LIMIT_MS));
    await playing;
    return { beforeCompleted, atEnd: listLeaving(world) };
  } finally {
    clock.uninstall();
    world.backEnds.all
      .filter(({ isOpen }) => isOpen)
      .forEach((backEnd) => world.backEnds.stop(backEnd));
  }
};

const assertOldVersionLeavesAtEnd = async (times: StatusTimes): Promise<void> => {
  const { beforeCompleted, atEnd } = await playRollout(times);
  assert.equal(beforeCompleted, []);
  assert.equal(atEnd, ['v1']);
};

// Guards against an operator that takes the new version away while its roll-out runs.
test('a roll-out whose first status was written late was taken for ended', () =>
  assertOldVersionLeavesAtEnd({ runningAtMs: 1_500, completedAtMs: 3_000 }));

// Guards against an operator that takes the old version away while the roll-out runs.
test('the status of an earlier roll-out was taken for that of the present one', () =>
  assertOldVersionLeavesAtEnd({ runningAtMs: 1_500, completedAtMs: 3_000, earlier: OLD_STATUS }));

// Guards against an operator that takes away a version that too few answers have proven so far.
test('a roll-out that was completed late was taken for failed', () =>
  assertOldVersionLeavesAtEnd({ runningAtMs: 500, completedAtMs: 11_000 }));

test.run();

/** Callers whose question ends each upstream that runs it, and who come again at any VM. */
import { Agent } from 'node:http';
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { sendAttempt } from '../callers/sendAttempt.js';
import { DEADLY_PREFIX, type BackEnd } from '../outside/backEnds.js';
import type { Team } from '../outside/operator.js';
import type { RequestKind } from '../types.js';
import { pickVm, type Fault, type SoakWorld } from '../world.js';

const ATTEMPTS = 24;
const MAX_GAP_MS = 250;

/** Impatient ones send several at once. */
const AT_ONCE = [1, 1, 3];
const kinds: readonly RequestKind[] = ['chat', 'read', 'write'];

/** Before the next one: while upstreams end, promises about calm ones show nothing. */
const MIN_QUIET_MS = 2_000;
const QUIET_SPREAD_MS = 4_000;

const BACK_MS = 600;
const LAPSES_MS = 1_500;

/** Ends it; another upstream takes its place, and the list drops it late. */
export const replaceCrashed = (world: SoakWorld, backEnd: BackEnd): void => {
  const { backEnds, operator, faultLog } = world;
  backEnds.stop(backEnd);
  void faultLog.during('upstreams', 'replaceCrashed', async () => {
    await sleep(BACK_MS);
    await operator.addBackEnd(backEnd.service, backEnd.version);
    await sleep(LAPSES_MS - BACK_MS);
    operator.remove(backEnd);
  });
};

const ask = async (world: SoakWorld, random: Random, kind: RequestKind, question: string) => {
  const agent = new Agent({ maxSockets: 1 });
  const { attempts, operator } = world;
  const team = operator.teams.find(({ name }) => name === 'north') as Team;
  const vm = pickVm(world, random);
  const id = `${question}-${attempts.length}`;
  await sendAttempt({ id, kind, team, vm, agent, question }, attempts);
  agent.destroy();
};

export const deadlyQuestion: Fault = async (world, random) => {
  await sleep(MIN_QUIET_MS + random.nextInt(QUIET_SPREAD_MS));
  await world.faultLog.during('callers', 'deadlyQuestion', async () => {
    const question = `${DEADLY_PREFIX}-${world.attempts.length}`;
    const kind = pickRandom(kinds, random) ?? 'chat';
    const count = pickRandom(AT_ONCE, random) ?? 1;
    const asked: Promise<void>[] = [];
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      for (let copy = 0; copy < count; copy += 1) {
        asked.push(ask(world, random, kind, question));
      }
      await sleep(random.nextInt(MAX_GAP_MS));
    }
    await Promise.all(asked);
  });
};

/** Prompts that share a part under which upstreams end, early or late in the answer. */
import { Agent } from 'node:http';
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { sendAttempt } from '../callers/sendAttempt.js';
import { DEADLY_PREFIX } from '../outside/backEnds.js';
import type { Team } from '../outside/operator.js';
import { pickVm, type Fault, type SoakWorld } from '../world.js';

const ATTEMPTS = 40;
const MAX_GAP_MS = 400;
const ENDS_AFTER_MS = [20, 500, 1_200];

/** Until the part turns bad. */
const SOUND_MS = [0, 3_000];

const ask = async (world: SoakWorld, random: Random, part: string): Promise<void> => {
  const agent = new Agent({ maxSockets: 1 });
  const { attempts, operator } = world;
  const team = operator.teams.find(({ name }) => name === 'north') as Team;
  const vm = pickVm(world, random);
  const id = `${part}-${attempts.length}`;
  await sendAttempt(
    { id, kind: 'chat', team, vm, agent, part, question: `question of ${id}` },
    attempts,
  );
  agent.destroy();
};

export const deadlyPart: Fault = (world, random) =>
  world.faultLog.during('callers', 'deadlyPart', async () => {
    const { backEnds, attempts } = world;
    const name = `${DEADLY_PREFIX}-part-${attempts.length}`;
    backEnds.deadlyParts.set(name, {
      name,
      endsAfterMs: pickRandom(ENDS_AFTER_MS, random) ?? 0,
      fromMs: performance.now() + (pickRandom(SOUND_MS, random) ?? 0),
    });
    const asked: Promise<void>[] = [];
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      asked.push(ask(world, random, name));
      await sleep(random.nextInt(MAX_GAP_MS));
    }
    await Promise.all(asked);
  });

/** Upstreams that fall over when they turn many requests away, under more requests than fit. */
import { Agent } from 'node:http';
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { sendAttempt } from '../callers/sendAttempt.js';
import { PLAIN_SLOTS } from '../constants.js';
import type { Team } from '../outside/operator.js';
import type { AttemptRecord } from '../types.js';
import { pickVm, type Fault, type SoakWorld } from '../world.js';

const REJECTIONS_PER_S = 4;
const ROOM = { slots: PLAIN_SLOTS, waitingPlaces: 2 };
const WORK_MS = 100;
const MIN_MS = 6_000;
const SPREAD_MS = 4_000;
const ROUND_MS = 20;
const MS_PER_S = 1_000;
const HTTP_UNAVAILABLE = 503;
const MAX_RETRY_AFTER_S = 1;

/** Requests for each one that the upstreams could serve. */
const PRESSURES = [0.5, 1, 2];

const callOnce = async (world: SoakWorld, random: Random): Promise<AttemptRecord> => {
  const agent = new Agent({ maxSockets: 1 });
  const { attempts, operator } = world;
  const team = pickRandom(operator.teams, random) as Team;
  const vm = pickVm(world, random);
  const id = `crowd-${attempts.length}`;
  const record = await sendAttempt({ id, kind: 'read', team, vm, agent }, attempts);
  agent.destroy();
  return record;
};

/** A caller who comes back once, at any VM, when he is told to. */
const call = async (world: SoakWorld, random: Random): Promise<void> => {
  const { status, retryAfterS = Infinity } = await callOnce(world, random);
  if (status === HTTP_UNAVAILABLE && retryAfterS <= MAX_RETRY_AFTER_S) {
    await sleep(retryAfterS * MS_PER_S);
    await callOnce(world, random);
  }
};

export const brittle: Fault = (world, random) =>
  world.faultLog.during('fleet of upstreams', 'brittle', async () => {
    const { operator, backEnds } = world;
    const end = operator.turnBrittle('plain', {
      room: ROOM,
      rejectionsPerS: REJECTIONS_PER_S,
      workMs: WORK_MS,
    });
    const slots = backEnds.listOpen('plain').length * PLAIN_SLOTS;
    const perS = (slots * MS_PER_S * (pickRandom(PRESSURES, random) ?? 1)) / WORK_MS;
    const calls: Promise<void>[] = [];
    const beganAtMs = performance.now();
    const endAtMs = beganAtMs + MIN_MS + random.nextInt(SPREAD_MS);
    while (performance.now() < endAtMs) {
      const due = ((performance.now() - beganAtMs) / MS_PER_S) * perS;
      while (calls.length < due) {
        calls.push(call(world, random));
      }
      await sleep(ROUND_MS);
    }
    end();
    await Promise.all(calls);
  });

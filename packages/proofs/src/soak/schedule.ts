/** Which disturbances come in which order, drawn from the seed. */
import type { Random } from '@snipehaven/common';
import { surroundings, type ProcessName, type SurroundingName } from './disturbances/index.js';

/** A disturbance of one daemon, by its place in the deployment. */
export interface ProcessStep {
  readonly name: ProcessName;
  readonly daemon: number;
}

const FREEZES_PER_ROUND: readonly ProcessName[] = ['freezeShortly', 'freezeLong'];
const KILL_SHARE = 0.6;

const shuffle = <Item>(items: readonly Item[], random: Random): readonly Item[] =>
  items
    .map((item) => ({ item, order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item);

/** One round: every daemon is replaced once, and some are frozen in between. */
export const drawProcessRound = (daemons: number, random: Random): readonly ProcessStep[] => {
  const replacements = Array.from({ length: daemons }, (_, daemon): ProcessStep => {
    const name = random.next() < KILL_SHARE ? 'killAndReplace' : 'stopAndReplace';
    return { name, daemon };
  });
  const freezes = FREEZES_PER_ROUND.map((name) => ({ name, daemon: random.nextInt(daemons) }));
  return shuffle([...replacements, ...freezes], random);
};

/** One round of all disturbances of the surroundings, withdrawals early enough to be seen. */
export const drawSurroundingsRound = (random: Random): readonly SurroundingName[] =>
  shuffle(Object.keys(surroundings) as SurroundingName[], random);

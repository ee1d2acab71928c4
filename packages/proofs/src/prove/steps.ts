/** Shorthands for the steps of a proof. */
import type { ActionName, FuzzStep } from '../fuzz/commands.js';

/** One step; `a` picks the daemon or engine, `b` the team or version, `c` the transport or session. */
export const step = (action: ActionName, a = 0, b = 0, c = 0): FuzzStep => ({ action, a, b, c });

/** The same step for each of the first `count` daemons or engines. */
export const forEach = (count: number, action: ActionName, b = 0, c = 0): readonly FuzzStep[] =>
  Array.from({ length: count }, (_, a) => step(action, a, b, c));

export const ENGINES = 6;

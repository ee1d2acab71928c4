/** Which VMs passed on what an upstream said of itself, and when. */
import type { Telling } from '../outside/statements.js';
import { isSuccess, type Evidence } from './evidence.js';

/** When each VM passed on answers that this upstream gave, by VM. */
export const listToldAtMs = (
  { attempts }: Evidence,
  tellings: readonly Telling[],
): ReadonlyMap<string, readonly number[]> => {
  const attemptIds = new Set(tellings.map(({ attemptId }) => attemptId));
  const toldAtMs = new Map<string, number[]>();
  for (const attempt of attempts) {
    if (attemptIds.has(attempt.id) && isSuccess(attempt)) {
      const known = toldAtMs.get(attempt.vm) ?? [];
      known.push(attempt.endedAtMs ?? Infinity);
      toldAtMs.set(attempt.vm, known);
    }
  }
  return toldAtMs;
};

/** Restarts, pauses and cuts of a VM excuse it. */
export const isUndisturbedSince = (
  { world }: Evidence,
  vm: string,
  fromMs: number,
  toMs: number,
): boolean =>
  [vm, `${vm} planned`].every((target) => !world.faultLog.isDisturbed(target, fromMs, toMs));

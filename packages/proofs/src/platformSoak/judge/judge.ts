/** Judges a run by what callers and upstreams saw. */
import type { AttemptRecord, RunRecord, Violation } from '../types.js';
import type { SoakWorld } from '../world.js';
import { listOverMemory } from './memory.js';
import { promises } from './promises.js';

const groupRuns = (runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> => {
  const groups = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const group = groups.get(run.attemptId) ?? [];
    group.push(run);
    groups.set(run.attemptId, group);
  }
  return groups;
};

/** All broken promises; also a VM that is not ready again. */
export const judge = async (
  world: SoakWorld,
  attempts: readonly AttemptRecord[],
  healedAtMs: number,
): Promise<readonly Violation[]> => {
  const evidence = { world, attempts, runsByAttempt: groupRuns(world.backEnds.runs), healedAtMs };
  const broken = Object.entries(promises).flatMap(([promise, check]) =>
    check(evidence).map((detail): Violation => ({ promise, detail })),
  );
  const readiness = await Promise.all(
    world.fleet.vms.map(async (vm) => ({ vm, isReady: await world.fleet.isReady(vm) })),
  );
  const notReady = readiness
    .filter(({ isReady }) => !isReady)
    .map(({ vm }): Violation => ({ promise: 'notReady', detail: vm.name }));
  const overMemory = (await listOverMemory(world.fleet.vms)).map((detail): Violation => ({
    promise: 'overMemory',
    detail,
  }));
  return [...broken, ...notReady, ...overMemory];
};

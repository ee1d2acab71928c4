/** One run: teams' requests through daemons to engines, on a virtual clock. */
import { createRandom } from '@snipehaven/common';
import type { Random } from '@snipehaven/common';
import { MAX_RETURNS, PLAIN_RETURN_MS } from './constants.js';
import { DaemonModel } from './daemonModel.js';
import { EngineModel } from './engineModel.js';
import { EventQueue } from './eventQueue.js';
import type {
  FaultPlan,
  PoolPolicy,
  PoolSetup,
  RequestResult,
  SimulatedRequest,
  TeamLoad,
} from './types.js';
import { drawGapMs, drawRequest } from './workload.js';

interface World {
  readonly setup: PoolSetup;
  readonly events: EventQueue;
  readonly engines: readonly EngineModel[];
  readonly daemons: readonly DaemonModel[];
  /** Draws the workload alone, so that all policies of a seed meet the same one. */
  readonly workload: Random;
  readonly results: RequestResult[];
}

/** A cache event gets lost this often. */
const CACHE_GAP_SHARE = 0.1;

const receiveAtSome = ({ daemons, workload }: World, request: SimulatedRequest): void =>
  daemons[workload.nextInt(daemons.length)]?.receive(request);

const startTeam = (world: World, team: TeamLoad): void => {
  const { events, workload } = world;
  let count = 0;
  const arrive = (): void => {
    count += 1;
    receiveAtSome(world, drawRequest(`${team.team}-${count}`, team, events.nowMs, workload));
    events.schedule(drawGapMs(team.getRate(events.nowMs), workload), arrive);
  };
  events.schedule(drawGapMs(team.getRate(0), workload), arrive);
};

const takeReport = (
  { setup, events, daemons }: World,
  engine: EngineModel,
  index: number,
  random: Random,
): void => {
  if (!engine.isReachable) {
    return;
  }
  const prefixes = [...engine.listCachedPrefixes()].filter(() => random.next() >= CACHE_GAP_SHARE);
  const report = {
    atMs: events.nowMs,
    running: engine.running,
    queued: engine.queued,
    prefixes: new Set(prefixes),
  };
  events.schedule(setup.reportLagMs, () =>
    daemons.forEach((daemon) => {
      daemon.upstreams[index]?.recordReport(report);
      daemon.recheck();
    }),
  );
};

const startReports = (world: World, random: Random): void =>
  world.engines.forEach((engine, index) => {
    const { events, setup } = world;
    const repeat = (): void => {
      takeReport(world, engine, index, random);
      events.schedule(setup.reportIntervalMs, repeat);
    };
    events.schedule(setup.reportIntervalMs * random.next(), repeat);
  });

const startFault = ({ events, engines }: World, fault: FaultPlan): void => {
  events.schedule(fault.fromMs, () =>
    engines.forEach((engine, index) => engine.setFault(fault.getFault(index))),
  );
  events.schedule(fault.untilMs, () => engines.forEach((engine) => engine.setFault('none')));
};

const createWorld = (setup: PoolSetup, policy: PoolPolicy, seed: number): World => {
  const events = new EventQueue();
  const random = createRandom(seed * 2 + 1);
  const engines = Array.from({ length: setup.engineCount }, () => new EngineModel(events));
  const results: RequestResult[] = [];
  const daemons: DaemonModel[] = [];
  const world = { setup, events, engines, daemons, workload: createRandom(seed * 2), results };
  const listener = (result: RequestResult, retryAfterMs = PLAIN_RETURN_MS): void => {
    results.push(result);
    const { request } = result;
    if (result.kind === 'refused' && request.returns < MAX_RETURNS) {
      const back = { ...request, id: `${request.id}+`, returns: request.returns + 1 };
      events.schedule(retryAfterMs, () => {
        const { nowMs } = events;
        const windowMs = request.deadlineAtMs - request.arrivedAtMs;
        const again = { ...back, arrivedAtMs: nowMs, deadlineAtMs: nowMs + windowMs };
        daemons[random.nextInt(daemons.length)]?.receive(again);
      });
    }
  };
  for (let index = 0; index < setup.daemonCount; index += 1) {
    daemons.push(new DaemonModel(index, setup, policy, { events, engines, random, listener }));
  }
  startReports(world, random);
  return world;
};

/** Runs the set-up under a policy; same seed, same results. */
export const runPool = (
  setup: PoolSetup,
  policy: PoolPolicy,
  seed: number,
): readonly RequestResult[] => {
  const world = createWorld(setup, policy, seed);
  setup.teams.forEach((team) => startTeam(world, team));
  if (setup.fault) {
    startFault(world, setup.fault);
  }
  world.events.runUntil(setup.durationMs);
  return world.results;
};

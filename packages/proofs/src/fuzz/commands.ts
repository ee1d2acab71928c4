/** What can happen in a fuzzing run: a table of small actions, each with how it is drawn. */
import fc from 'fast-check';
import { restoreManifest } from '@snipehaven/resources';
import type { WorldVm } from '../harness/index.js';
import { fuzzDataCentres, fuzzTeams, fuzzVersions } from './fuzzConfiguration.js';
import type { FuzzCall, FuzzRun } from './fuzzRun.js';

/** One drawn command. */
export interface FuzzStep {
  readonly action: ActionName;
  readonly a: number;
  readonly b: number;
  readonly c: number;
}

interface FuzzAction {
  /** How often it is drawn, against the others. */
  readonly weight: number;
  canRun?(run: FuzzRun, step: FuzzStep): boolean;
  run(run: FuzzRun, step: FuzzStep): Promise<void> | void;
}

const SESSIONS = 4;
const MAX_ADVANCE_MS = 4_000;

const pick = <Item>(items: readonly Item[], index: number): Item =>
  items[index % items.length] as Item;

const isRunning = (run: FuzzRun, step: FuzzStep): boolean => run.getVm(step.a).core !== undefined;

/** Keeps one daemon alive, so that there is someone to judge. */
const canStop = (run: FuzzRun, step: FuzzStep): boolean =>
  isRunning(run, step) && run.world.listRunning().length > 1;

const toCall = (step: FuzzStep, overrides: Partial<FuzzCall>): FuzzCall => ({
  vm: step.a,
  team: pick(fuzzTeams, step.b),
  transport: step.c % 2 === 0 ? 'chat' : 'chatStream',
  isIdempotent: true,
  hasOwnSessionId: false,
  ...overrides,
});

const createCall = (weight: number, refine: (step: FuzzStep) => Partial<FuzzCall>): FuzzAction => ({
  weight,
  canRun: (run, step) => run.canCall(toCall(step, refine(step))),
  run: (run, step) => run.call(toCall(step, refine(step))),
});

const pickEngine = (run: FuzzRun, step: FuzzStep): ReturnType<FuzzRun['world']['engines']['get']> =>
  pick([...run.world.engines.values()], step.a);

const raceOperators = (run: FuzzRun, vm: WorldVm, step: FuzzStep): void => {
  const weight = 1 + (step.b % 5);
  const store = vm.core?.configuration;
  const present = store?.getView().get('Team', 'alpha');
  if (store === undefined || present === undefined) {
    return;
  }
  const manifest = restoreManifest({
    kind: 'Team',
    metadata: { name: 'alpha', resourceVersion: present.metadata.resourceVersion },
    spec: { ...present.spec, weight },
  });
  const clientRequestId = `race-${run.world.clock.nowMs}-${vm.name}`;
  store.apply(manifest, { clientRequestId }).catch(() => undefined);
};

export const actions = {
  chat: createCall(10, () => ({})),
  chatOnce: createCall(6, () => ({ isIdempotent: false })),
  // A session belongs to one team: another team's token is no session of its own.
  chatSession: createCall(5, (step) => ({
    session: step.c % SESSIONS,
    team: pick(fuzzTeams, step.c % SESSIONS),
  })),
  chatOwnSession: createCall(3, (step) => ({
    session: SESSIONS + (step.c % SESSIONS),
    hasOwnSessionId: true,
    team: 'alpha',
    // The directory of pins is kept by data centre: a session's callers come through one.
    vm: step.a % 2,
  })),
  lookUp: createCall(2, () => ({ transport: 'service' })),
  file: createCall(5, () => ({ transport: 'service', isIdempotent: false })),
  retry: { weight: 8, run: (run, step) => run.retry(step.a, step.b) },
  advance: {
    weight: 14,
    run: (run, step) =>
      run.world.clock.advance(1 + ((step.a * 37 + step.b * 101) % MAX_ADVANCE_MS)),
  },
  advanceShort: { weight: 14, run: (run, step) => run.world.clock.advance(2 + (step.a % 60)) },
  kill: {
    weight: 3,
    canRun: (run, step) => canStop(run, step) && run.mayKill(),
    run: (run, step) => run.kill(run.getVm(step.a)),
  },
  shutDown: { weight: 2, canRun: canStop, run: (run, step) => run.shutDown(run.getVm(step.a)) },
  start: { weight: 4, run: (run, step) => run.world.startDaemon(run.getVm(step.a)) },
  freeze: {
    weight: 2,
    canRun: isRunning,
    run: (run, step) => run.world.freezeDaemon(run.getVm(step.a)),
  },
  thaw: { weight: 3, run: (run, step) => run.world.thawDaemon(run.getVm(step.a)) },
  cutDataCentres: {
    weight: 2,
    run: (run, step) =>
      run.world.network.cut(pick(fuzzDataCentres, step.a), pick(fuzzDataCentres, step.a + 1)),
  },
  cutPlatform: {
    weight: 2,
    run: (run, step) => run.world.network.cut(pick(fuzzDataCentres, step.a), 'platform'),
  },
  heal: { weight: 4, run: (run) => run.world.network.heal() },
  tableDown: {
    weight: 2,
    run: (run) => run.world.cores.table.gate.setFaults({ isDown: true }),
  },
  tableSlow: {
    weight: 2,
    run: (run, step) =>
      run.world.cores.table.gate.setFaults({ delayMs: (step.a * 53) % 1_500, delaySpreadMs: 500 }),
  },
  tableLosesReplies: {
    weight: 3,
    run: (run, step) => run.world.cores.table.gate.setFaults({ loseNextReplies: 1 + (step.a % 4) }),
  },
  tableWell: { weight: 4, run: (run) => run.world.cores.table.gate.clearFaults() },
  raterDown: {
    weight: 1,
    run: (run, step) => run.world.cores.rater.gate.setFaults({ isDown: step.a % 2 === 0 }),
  },
  engineLeaves: {
    weight: 1,
    run: (run, step) => pickEngine(run, step)?.setLeaving(step.b % 3 !== 0),
  },
  engineRefuses: {
    weight: 2,
    run: (run, step) => pickEngine(run, step)?.setFaults({ isRefusing: step.b % 2 === 0 }),
  },
  engineCrashes: {
    weight: 2,
    run: (run, step) => pickEngine(run, step)?.setFaults({ crashNext: 1 + (step.b % 2) }),
  },
  engineDrops: {
    weight: 2,
    run: (run, step) => pickEngine(run, step)?.setFaults({ dropNext: 1 + (step.b % 3) }),
  },
  silence: {
    weight: 2,
    canRun: isRunning,
    run: (run, step) => run.getVm(step.a).engines?.silenceConnections(),
  },
  repeatChange: {
    weight: 2,
    canRun: isRunning,
    run: (run, step) => run.repeatChange(run.getVm(step.a), step.b % 4),
  },
  withdraw: {
    weight: 1,
    canRun: isRunning,
    run: (run, step) => run.withdraw(run.getVm(step.a), pick(fuzzVersions.slice(0, 2), step.b)),
  },
  raceOperators: {
    weight: 2,
    run: (run, step) => {
      raceOperators(run, run.getVm(step.a), step);
      raceOperators(run, run.getVm(step.a + 1 + step.c), step);
    },
  },
} satisfies Record<string, FuzzAction>;

export type ActionName = keyof typeof actions;

const table: Readonly<Record<ActionName, FuzzAction>> = actions;

const names = Object.keys(actions) as readonly ActionName[];

const number = fc.nat({ max: 99 });

const stepArbitrary: fc.Arbitrary<FuzzStep> = fc.record({
  action: fc.oneof(
    ...names.map((name) => ({ weight: table[name].weight, arbitrary: fc.constant(name) })),
  ),
  a: number,
  b: number,
  c: number,
});

/** Lists of commands, which shrink by leaving some out. */
export const createStepsArbitrary = (maxSteps: number): fc.Arbitrary<readonly FuzzStep[]> =>
  fc.array(stepArbitrary, {
    minLength: Math.floor(maxSteps / 3),
    maxLength: maxSteps,
    size: 'max',
  });

/** Runs a command, unless it cannot happen now; true when it ran. */
export const runStep = async (run: FuzzRun, step: FuzzStep): Promise<boolean> => {
  const action = table[step.action];
  if (action.canRun && !action.canRun(run, step)) {
    return false;
  }
  await action.run(run, step);
  run.watchConfiguration();
  return true;
};

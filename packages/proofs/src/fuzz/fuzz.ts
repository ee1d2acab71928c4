/** Runs drawn command lists against the world, and shrinks what breaks a promise. */
import fc from 'fast-check';
import type { WorldOptions } from '../harness/index.js';
import { createStepsArbitrary, runStep, type FuzzStep } from './commands.js';
import { FuzzRun } from './fuzzRun.js';

export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly maxSteps: number;
  /** Ends drawing and shrinking; what was found by then is reported. */
  readonly limitMs?: number;
  readonly world?: Partial<WorldOptions>;
  readonly onRun?: (index: number, violations: readonly string[]) => void;
}

export interface FuzzReport {
  readonly seed: number;
  readonly runs: number;
  readonly commands: number;
  readonly violations: number;
  /** The shrunk command list and what it broke. */
  readonly counterexample?: {
    readonly steps: readonly FuzzStep[];
    readonly violations: readonly string[];
  };
}

interface RunOutcome {
  readonly commands: number;
  readonly violations: readonly string[];
}

/** Runs one command list; resolves with what it broke. */
export const runSteps = async (
  seed: number,
  steps: readonly FuzzStep[],
  world: Partial<WorldOptions> = {},
): Promise<RunOutcome> => {
  const run = new FuzzRun(seed, world);
  let commands = 0;
  try {
    await run.setUp();
    for (const step of steps) {
      commands += (await runStep(run, step)) ? 1 : 0;
    }
    await run.finish();
  } finally {
    run.world.dispose();
  }
  return { commands, violations: run.violations };
};

/** Fuzzes; the same seed draws the same runs. */
export const fuzz = async (options: FuzzOptions): Promise<FuzzReport> => {
  let runs = 0;
  let commands = 0;
  let lastViolations: readonly string[] = [];
  const property = fc.asyncProperty(createStepsArbitrary(options.maxSteps), async (steps) => {
    runs += 1;
    const outcome = await runSteps(options.seed, steps, options.world);
    commands += outcome.commands;
    options.onRun?.(runs, outcome.violations);
    if (outcome.violations.length > 0) {
      lastViolations = outcome.violations;
      throw new Error(outcome.violations.join('\n'));
    }
  });
  const { seed } = options;
  const limit = options.limitMs === undefined ? {} : { interruptAfterTimeLimit: options.limitMs };
  const result = await fc.check(property, { seed, numRuns: options.runs, ...limit });
  return {
    seed,
    runs,
    commands,
    violations: result.failed ? 1 : 0,
    ...(result.counterexample
      ? { counterexample: { steps: result.counterexample[0], violations: lastViolations } }
      : {}),
  };
};

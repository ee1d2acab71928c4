/** Two lanes of disturbances side by side, so that two faults may overlap and no more. */
import { createRandom, sleep, type Random } from '@snipehaven/common';
import type { RunningDaemon } from '@snipehaven/demo';
import {
  processes,
  surroundings,
  type ProcessName,
  type SurroundingName,
} from './disturbances/index.js';
import { drawProcessRound, drawSurroundingsRound, type ProcessStep } from './schedule.js';
import type { SoakWorld } from './types.js';

const GAP_MS = 500;
const GAP_SPREAD_MS = 2_000;
const SEED_STEP = 7_919;

export interface LanesOptions {
  readonly world: SoakWorld;
  readonly seed: number;
  /** No new round begins after this. */
  readonly endAtMs: number;
}

export class Lanes {
  readonly #options: LanesOptions;

  constructor(options: LanesOptions) {
    this.#options = options;
  }

  /** Resolves when the time is over, all faults are taken back and every daemon was replaced. */
  async run(): Promise<void> {
    await Promise.all([this.#runProcesses(), this.#runSurroundings()]);
  }

  get #isOver(): boolean {
    return Date.now() >= this.#options.endAtMs;
  }

  /** The first round is run to its end, however short the time. */
  async #runProcesses(): Promise<void> {
    const { world, seed } = this.#options;
    const random = createRandom(seed);
    const { daemons } = world.deployment;
    do {
      for (const step of drawProcessRound(daemons.length, random)) {
        const isNeeded = world.facts.replacedVms.size < daemons.length;
        if (isNeeded || !this.#isOver) {
          await this.#strikeDaemon(step, random);
        }
      }
    } while (!this.#isOver);
  }

  async #runSurroundings(): Promise<void> {
    const random = createRandom(this.#options.seed + SEED_STEP);
    while (!this.#isOver) {
      for (const name of drawSurroundingsRound(random)) {
        if (!this.#isOver) {
          await this.#strikeSurroundings(name, random);
        }
      }
    }
  }

  async #strikeDaemon(step: ProcessStep, random: Random): Promise<void> {
    const { world } = this.#options;
    const daemon = world.deployment.daemons[step.daemon] as RunningDaemon;
    await this.#strike(step.name, () => processes[step.name](world, daemon, random));
    await sleep(GAP_MS + random.nextInt(GAP_SPREAD_MS));
  }

  async #strikeSurroundings(name: SurroundingName, random: Random): Promise<void> {
    const { world } = this.#options;
    await this.#strike(name, () => surroundings[name](world, random));
    await sleep(GAP_MS + random.nextInt(GAP_SPREAD_MS));
  }

  async #strike(name: ProcessName | SurroundingName, act: () => Promise<void>): Promise<void> {
    const { facts } = this.#options.world;
    const fault = Symbol(name);
    facts.active.set(fault, name);
    try {
      await act();
    } finally {
      facts.active.delete(fault);
    }
  }
}

/** Measures the time from an accepted write until all daemons that run have it applied. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import type { RunningDaemon } from '@snipehaven/demo';
import { PROBE_GIVE_UP_MS, PROBE_PAUSE_MS, PROBE_POLL_MS } from '../constants.js';
import type { SoakWorld } from '../types.js';
import { readStatus } from './daemonStatus.js';
import { repeatFor } from './repeat.js';

export const PROBE_NAME = 'soak-probe';

export interface InForceMeasure {
  readonly inForceMs: number;
  /** Whether any fault acted at the time. */
  readonly isDisturbed: boolean;
  /** From the end of a cut that fell into the time; undefined: there was none. */
  readonly sinceHealMs: number | undefined;
}

export class InForceProbe {
  readonly measures: InForceMeasure[] = [];

  readonly #world: SoakWorld;

  readonly #random: Random;

  readonly #running = new Set<Promise<void>>();

  constructor(world: SoakWorld, random: Random) {
    this.#world = world;
    this.#random = random;
  }

  /** Writes over and over until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await repeatFor(signal, PROBE_PAUSE_MS, () => this.#writeOnce());
    await Promise.all(this.#running);
  }

  async #writeOnce(): Promise<void> {
    const daemon = pickRandom(this.#world.listReady(), this.#random);
    const end = daemon && (await this.#world.journal.write(daemon, PROBE_NAME));
    if (end?.kind === 'accepted') {
      const measuring = this.#measure(end.revision, Date.now());
      this.#running.add(measuring);
      void measuring.finally(() => this.#running.delete(measuring));
    }
  }

  async #measure(revision: number, acceptedAtMs: number): Promise<void> {
    const { facts } = this.#world;
    const applied = new Set<number>();
    let isDisturbed = false;
    while (!this.#isEverywhere(applied)) {
      isDisturbed = isDisturbed || facts.active.size > 0;
      if (Date.now() - acceptedAtMs > PROBE_GIVE_UP_MS) {
        facts.configReverts.push(`revision ${revision} not in force after ${PROBE_GIVE_UP_MS} ms`);
        return;
      }
      await Promise.all(
        this.#listWaiting(applied).map((daemon) => this.#look(daemon, revision, applied)),
      );
      await sleep(PROBE_POLL_MS);
    }
    const nowMs = Date.now();
    const sinceHealMs =
      facts.lastHealAtMs > acceptedAtMs ? Math.max(0, nowMs - facts.lastHealAtMs) : undefined;
    this.measures.push({ inForceMs: nowMs - acceptedAtMs, isDisturbed, sinceHealMs });
  }

  /** A frozen process has no configuration in force, and one that is gone neither. */
  #listWaiting(applied: ReadonlySet<number>): readonly RunningDaemon[] {
    const { deployment, facts } = this.#world;
    return deployment.daemons.filter(
      ({ vm, process }) =>
        process.isRunning && !facts.frozenVms.has(vm.name) && !applied.has(process.pid),
    );
  }

  #isEverywhere(applied: ReadonlySet<number>): boolean {
    return this.#listWaiting(applied).length === 0;
  }

  async #look(daemon: RunningDaemon, revision: number, applied: Set<number>): Promise<void> {
    const { pid } = daemon.process;
    const status = await readStatus(daemon);
    if (status !== undefined && status.revision >= revision) {
      applied.add(pid);
    }
  }
}
